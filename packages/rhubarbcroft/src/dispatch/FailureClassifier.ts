/**
 * Classifies a failed attempt and records its consequences for the endpoint and the request.
 *
 * After a broken or silent connection, the engine's boot id is read over a new connection. If it is
 * unchanged, only the connection was lost. Otherwise the engine has crashed, and all requests that this
 * node had in flight there are recorded once as possible causes of the crash.
 */
import type CrashEvidence from '../decisions/poison/CrashEvidence.js';
import type PoisonTracker from '../decisions/poison/PoisonTracker.js';
import type AttemptFailure from '../endpoints/AttemptFailure.js';
import type EndpointRegistry from '../endpoints/EndpointRegistry.js';
import type Clock from '../supervision/Clock.js';

interface CrashJudgeOptions {
  readonly registry: EndpointRegistry;
  readonly poison: PoisonTracker;
  readonly clock: Clock;
  /** Sends new crash evidence to the peers. */
  readonly publish: (evidence: readonly CrashEvidence[]) => void;
}

/** Failures after which the engine has certainly not run the request. */
const NOT_STARTED: ReadonlySet<AttemptFailure['kind']> = new Set(['unsent', 'rejected', 'invalid']);

/** Appears as a label of the metric `attempt.failed`. */
type Finding = 'crashed' | 'connectionLost' | 'notStarted';

export default class FailureClassifier {
  readonly #options: CrashJudgeOptions;

  /** The boot id of the last recorded crash, by endpoint id. */
  readonly #recordedBootIds = new Map<string, string>();

  constructor(options: CrashJudgeOptions) {
    this.#options = options;
  }

  async classify(endpointId: string, failure: AttemptFailure): Promise<Finding> {
    if (NOT_STARTED.has(failure.kind)) {
      // A full engine is healthy, and ejecting it would only shift its load to the other engines.
      if (failure.kind !== 'rejected') {
        this.#recordFailure(endpointId);
      }
      return 'notStarted';
    }
    const entry = this.#options.registry.get(endpointId);
    const bootId = entry?.state.report?.bootId ?? 'unknown';
    const running = entry?.state.inFlight.map((dispatched) => dispatched.fingerprint) ?? [];
    if ((await this.#readBootId(endpointId)) === bootId) {
      return 'connectionLost';
    }
    this.#recordFailure(endpointId);
    this.#recordCrash(endpointId, bootId, running);
    return 'crashed';
  }

  /** Reads the boot id of an engine over a new connection; undefined when the engine does not answer. */
  async #readBootId(endpointId: string): Promise<string | undefined> {
    const entry = this.#options.registry.get(endpointId);
    const load = await entry?.engine?.readLoad();
    if (load?.isErr === true) {
      entry?.state.recordFailedRead(load.error);
    }
    return load?.isOk === true ? load.value.bootId : undefined;
  }

  /**
   * Records a crash for all requests that were running. Several attempts may report the same crash, so only
   * the first report of each boot id counts.
   */
  #recordCrash(endpointId: string, bootId: string, running: readonly string[]): void {
    if (this.#recordedBootIds.get(endpointId) === bootId) {
      return;
    }
    this.#recordedBootIds.set(endpointId, bootId);
    const evidence = this.#options.poison.recordCrash(endpointId, bootId, [...new Set(running)]);
    this.#options.publish(evidence);
  }

  /** Records a failure for ejection, which is allowed while fewer than half of all endpoints are ejected. */
  #recordFailure(endpointId: string): void {
    const { registry, clock } = this.#options;
    const nowMs = clock.nowMs();
    const states = registry.list().map((entry) => entry.state);
    const ejected = states.filter((state) => state.outliers.isEjected(nowMs)).length;
    const mayEject = ejected < states.length / 2;
    registry.get(endpointId)?.state.outliers.recordFailure(nowMs, mayEject);
  }
}
