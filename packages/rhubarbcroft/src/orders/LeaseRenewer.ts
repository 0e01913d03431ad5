/**
 * The task that acquires and renews the lease of this node's failure domain. The holder and the node that
 * rendezvous hashing ranks first check the lease most often. Nodes of lower rank check it less often, so
 * that the load on the table does not grow with the number of nodes.
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
  /** Resolves once this process has bound the VM's peer address, so that no other process of the VM runs. */
  readonly bound: Promise<void>;
}

const CHECKS_PER_TTL = 3;
const MAX_RANK = 4;

export default class LeaseRenewer extends Task {
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
      await lease.acquireOrRenew();
      const rank = lease.held ? 0 : this.#computeRank();
      await clock.sleep((ttlMs / CHECKS_PER_TTL) * (1 + rank), signal);
    }
    await lease.release();
  }

  override dumpState(): unknown {
    return { epoch: this.#options.lease.authority?.epoch ?? null };
  }

  /** Returns how many nodes rendezvous hashing ranks before this one, at most `MAX_RANK`. */
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
