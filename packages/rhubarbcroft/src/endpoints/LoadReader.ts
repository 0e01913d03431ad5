/**
 * Periodic task of one endpoint: reads its load report and publishes it to the peers.
 *
 * Rendezvous hashing makes one node of the endpoint's failure domain its owner. The owner reads the report and
 * broadcasts it; other nodes read only when reports have been missing for several periods. The number of reads
 * therefore does not grow with the number of nodes.
 */
import type LoadReport from '@rhubarbcroft/protocol/fleet/LoadReport';
import type NodeDirectory from '../membership/NodeDirectory.js';
import chooseOwner from '../decisions/chooseOwner.js';
import type Clock from '../supervision/Clock.js';
import PeriodicTask from '../supervision/PeriodicTask.js';
import type EndpointRegistry from './EndpointRegistry.js';

interface LoadReaderContext {
  readonly registry: EndpointRegistry;
  readonly directory: NodeDirectory;
  readonly clock: Clock;
  /** The period of the reads. */
  readonly loadReportMs: number;
  readonly publish: (report: LoadReport) => void;
}

/** Periods without a report after which every node reads the endpoint itself. */
const MAX_MISSED_REPORTS = 3;

export default class LoadReader extends PeriodicTask {
  override readonly name: string;

  readonly #endpointId: string;

  readonly #context: LoadReaderContext;

  constructor(endpointId: string, context: LoadReaderContext) {
    super(context.clock, context.loadReportMs);
    this.name = `load-reader ${endpointId}`;
    this.#endpointId = endpointId;
    this.#context = context;
  }

  protected override async runOnce(): Promise<void> {
    const entry = this.#context.registry.get(this.#endpointId);
    if (entry === undefined || !this.#shouldRead(entry.state.declaration.domain)) {
      return;
    }
    const report = await (entry.engine ?? entry.service)?.readLoad();
    if (report === undefined) {
      return;
    }
    if (report.isErr) {
      entry.state.recordFailedRead(report.error);
      return;
    }
    entry.state.offerReport(report.value, this.clock.nowMs());
    this.#context.publish(report.value);
  }

  /** Whether this node reads the endpoint: it is the owner, or reports have stopped arriving. */
  #shouldRead(domain: string): boolean {
    const { directory, registry, loadReportMs } = this.#context;
    const state = registry.get(this.#endpointId)?.state;
    const ageMs = this.clock.nowMs() - (state?.reportedAtMs ?? -Infinity);
    if (ageMs > loadReportMs * MAX_MISSED_REPORTS) {
      return true;
    }
    const owner = chooseOwner(this.#endpointId, directory.listDomainNodes());
    return domain === directory.own.domain && owner === directory.own.nodeId;
  }
}
