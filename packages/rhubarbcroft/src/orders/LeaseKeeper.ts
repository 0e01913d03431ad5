/**
 * The task that keeps the lease of this node's failure domain. The node that rendezvous hashing puts
 * first looks most often; the others look less often, so that the reads do not grow with the nodes.
 */
import type NodeDirectory from '../membership/NodeDirectory.js';
import chooseOwner from '../decisions/chooseOwner.js';
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';
import type Lease from './Lease.js';

interface LeaseKeeperOptions {
  readonly lease: Lease;
  readonly directory: NodeDirectory;
  readonly clock: Clock;
  readonly ttlMs: number;
  /** Resolves once no other process of this VM can run. */
  readonly bound: Promise<void>;
}

const LOOKS_PER_TTL = 3;
const MAX_RANK = 4;

export default class LeaseKeeper extends Task {
  override readonly name = 'lease-keeper';

  readonly #options: LeaseKeeperOptions;

  constructor(options: LeaseKeeperOptions) {
    super();
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    const { lease, clock, ttlMs, bound } = this.#options;
    await bound;
    while (!signal.aborted) {
      await lease.attempt();
      const rank = lease.held ? 0 : this.#computeRank();
      await clock.sleep((ttlMs / LOOKS_PER_TTL) * (1 + rank), signal);
    }
    await lease.release();
  }

  override dumpState(): unknown {
    return { epoch: this.#options.lease.authority?.epoch ?? null };
  }

  /** How many nodes rendezvous hashing puts before this one. */
  #computeRank(): number {
    const { directory } = this.#options;
    let nodes = directory.listDomainNodes();
    for (let rank = 0; rank < MAX_RANK; rank += 1) {
      const owner = chooseOwner(directory.own.domain, nodes);
      if (owner === directory.own.nodeId) {
        return rank;
      }
      nodes = nodes.filter((node) => node !== owner);
    }
    return MAX_RANK;
  }
}
