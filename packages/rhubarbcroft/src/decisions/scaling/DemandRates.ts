/**
 * Turns the counts that nodes report about once a second into the fleet's demand per second. A node that falls silent
 * keeps its last rate for a while: demand must not seem to fall because the holder of the duty is cut off from its peers.
 */
import type NodeDemand from '../../duties/NodeDemand.js';
import type ServiceDemand from '../../duties/ServiceDemand.js';
import type DemandRate from './DemandRate.js';

/** A node's last report, and its rates by service between that report and the one before. */
interface NodeRates {
  readonly report: NodeDemand;
  readonly ratesByService: ReadonlyMap<string, DemandRate>;
}

const MS_PER_S = 1_000;
/** Longer than the store or a link between nodes is usually interrupted. */
const SILENCE_MS = 15_000;
/** Reports that are delayed arrive together with the next; a rate between them would be any number. */
const MIN_INTERVAL_MS = 750;
const NO_DEMAND: DemandRate = {
  requestsPerS: 0,
  prefillTokensPerS: 0,
  memoryTokensPerS: 0,
  outputTokensPerS: 0,
  refusedPerS: 0,
};

function addRates(a: DemandRate, b: DemandRate): DemandRate {
  return {
    requestsPerS: a.requestsPerS + b.requestsPerS,
    prefillTokensPerS: a.prefillTokensPerS + b.prefillTokensPerS,
    memoryTokensPerS: a.memoryTokensPerS + b.memoryTokensPerS,
    outputTokensPerS: a.outputTokensPerS + b.outputTokensPerS,
    refusedPerS: a.refusedPerS + b.refusedPerS,
  };
}

/** The rate between two reports. Counts that are lower than before are those of a new process. */
function computeRate(
  before: ServiceDemand | undefined,
  after: ServiceDemand,
  elapsedS: number,
): DemandRate {
  const base = before === undefined || after.requests < before.requests ? undefined : before;
  const rate = (key: Exclude<keyof ServiceDemand, 'service'>): number =>
    Math.max(0, after[key] - (base?.[key] ?? 0)) / elapsedS;
  return {
    requestsPerS: rate('requests'),
    prefillTokensPerS: rate('prefillTokens'),
    memoryTokensPerS: rate('memoryTokens'),
    outputTokensPerS: rate('outputTokens'),
    refusedPerS: rate('refused'),
  };
}

function findChange(known: NodeDemand, next: NodeDemand): ReadonlyMap<string, DemandRate> {
  const elapsedS = (next.receivedAtMs - known.receivedAtMs) / MS_PER_S;
  const before = new Map(known.services.map((demand) => [demand.service, demand]));
  return new Map(
    next.services.map((demand) => [
      demand.service,
      computeRate(before.get(demand.service), demand, elapsedS),
    ]),
  );
}

export default class DemandRates {
  readonly #nodes = new Map<string, NodeRates>();

  update(reports: readonly NodeDemand[], nowMs: number): void {
    reports.forEach((report) => {
      const known = this.#nodes.get(report.node);
      if (known === undefined) {
        this.#nodes.set(report.node, { report, ratesByService: new Map() });
      } else if (report.receivedAtMs - known.report.receivedAtMs >= MIN_INTERVAL_MS) {
        this.#nodes.set(report.node, { report, ratesByService: findChange(known.report, report) });
      }
    });
    this.#nodes.forEach(({ report }, node) => {
      if (nowMs - report.receivedAtMs > SILENCE_MS) {
        this.#nodes.delete(node);
      }
    });
  }

  read(service: string): DemandRate {
    return [...this.#nodes.values()].reduce(
      (sum, { ratesByService }) => addRates(sum, ratesByService.get(service) ?? NO_DEMAND),
      NO_DEMAND,
    );
  }

  /** The age of the oldest report that the rates are based on; 0 when there is none. */
  readAgeMs(nowMs: number): number {
    return Math.max(
      0,
      ...[...this.#nodes.values()].map(({ report }) => nowMs - report.receivedAtMs),
    );
  }
}
