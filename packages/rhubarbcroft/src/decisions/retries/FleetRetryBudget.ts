/**
 * Bounds the extra dispatches of a fleet (those beyond the first dispatch of each request) without
 * coordination between nodes. Each node may spend its share of the fixed reserve and a fraction of the
 * requests that it received itself. Windows slide and a request counts for one window only, so the sum over
 * all nodes stays within the fleet's bound.
 */
interface FleetRetryBudgetOptions {
  /** Extra dispatches allowed for each request of the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Extra dispatches that the fleet may make in any window, however few requests it receives. */
  readonly reserve: number;
  /** How many nodes share the reserve. */
  readonly countNodes: () => number;
}

/** The share of the bound that is used: a dispatch reaches its endpoint later than it is counted here. */
const SAFETY_FRACTION = 0.85;

interface ServiceCounts {
  readonly requestsAtMs: number[];
  readonly extrasAtMs: number[];
}

export default class FleetRetryBudget {
  readonly #options: FleetRetryBudgetOptions;

  readonly #services = new Map<string, ServiceCounts>();

  constructor(options: FleetRetryBudgetOptions) {
    this.#options = options;
  }

  recordRequest(service: string, nowMs: number): void {
    this.#read(service, nowMs).requestsAtMs.push(nowMs);
  }

  /** Spends one extra dispatch; returns whether the budget allowed it. */
  spend(service: string, nowMs: number): boolean {
    const { ratio, reserve, countNodes } = this.#options;
    const { requestsAtMs, extrasAtMs } = this.#read(service, nowMs);
    const share = reserve / Math.max(1, countNodes());
    const allowed = (requestsAtMs.length * ratio + share) * SAFETY_FRACTION;
    if (extrasAtMs.length + 1 > allowed) {
      return false;
    }
    extrasAtMs.push(nowMs);
    return true;
  }

  #read(service: string, nowMs: number): ServiceCounts {
    const counts = this.#services.get(service) ?? { requestsAtMs: [], extrasAtMs: [] };
    this.#services.set(service, counts);
    const { requestsAtMs, extrasAtMs } = counts;
    const oldestMs = nowMs - this.#options.windowMs;
    [requestsAtMs, extrasAtMs].forEach((times) => {
      const firstKept = times.findIndex((atMs) => atMs > oldestMs);
      times.splice(0, firstKept === -1 ? times.length : firstKept);
    });
    return counts;
  }
}
