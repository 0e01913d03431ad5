/**
 * Runs suspect requests in isolation. A request that is suspected of crashing endpoints runs only where no
 * other suspect request of this node runs, and on an endpoint that this node owns among its peers. No two
 * suspect requests then share an endpoint, so a further crash identifies the request that caused it.
 *
 * A node may own no endpoint that can take the request, because there are more nodes than endpoints or
 * because its own endpoints have crashed. Its suspect requests then wait, to give the other nodes time to
 * identify the cause among their own suspect requests, and may use any endpoint after that.
 */
import type NodeDirectory from '../membership/NodeDirectory.js';
import chooseOwner from '../decisions/chooseOwner.js';
import type DispatchTicket from './DispatchTicket.js';

/** How long a node without heartbeats stays an owner: longer than a busy node may delay its heartbeats. */
const OWNER_RETENTION_MS = 10_000;
/** How long suspect requests wait before they may use endpoints that other nodes own. */
const FOREIGN_ENDPOINT_DELAY_MS = 2_000;

function listEndpoints({ route }: DispatchTicket): readonly string[] {
  return route.prefillId === undefined ? [route.endpointId] : [route.prefillId, route.endpointId];
}

export default class SuspectIsolation {
  readonly #directory: NodeDirectory;

  /** The id of the attempt that has reserved an endpoint, by endpoint id. */
  readonly #reservations = new Map<string, string>();

  constructor(directory: NodeDirectory) {
    this.#directory = directory;
  }

  /** Of the available endpoints, the ids of those that a suspect request may use after it has waited this long. */
  listAllowedIds(availableIds: readonly string[], waitedMs: number): ReadonlySet<string> {
    const nodes = this.#directory.listDomainNodes(OWNER_RETENTION_MS);
    const owned = availableIds.filter(
      (id) => chooseOwner(id, nodes) === this.#directory.own.nodeId,
    );
    const foreign = waitedMs < FOREIGN_ENDPOINT_DELAY_MS ? [] : availableIds;
    const allowed = owned.length > 0 ? owned : foreign;
    return new Set(allowed.filter((id) => !this.#reservations.has(id)));
  }

  /** Reserves the endpoints of the ticket's route for its attempt. */
  reserve(ticket: DispatchTicket): void {
    listEndpoints(ticket).forEach((id) => this.#reservations.set(id, ticket.attemptId));
  }

  /** Releases the endpoints that this attempt has reserved; those reserved by other attempts stay reserved. */
  release(ticket: DispatchTicket): void {
    listEndpoints(ticket)
      .filter((id) => this.#reservations.get(id) === ticket.attemptId)
      .forEach((id) => this.#reservations.delete(id));
  }
}
