/**
 * Decides what a failed attempt says of its endpoint and of the request.
 *
 * After a broken or silent connection the engine is asked over a new connection. If it answers with the
 * same boot id, only the connection was lost; otherwise the engine has crashed, and every request that
 * this node had there is judged for the crash once.
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
  readonly publish: (evidence: readonly CrashEvidence[]) => void;
}

const NOT_STARTED: ReadonlySet<AttemptFailure['kind']> = new Set(['unsent', 'rejected', 'invalid']);

type Finding = 'crashed' | 'connectionLost' | 'notStarted';

export default class CrashJudge {
  readonly #options: CrashJudgeOptions;

  readonly #judged = new Map<string, string>();

  constructor(options: CrashJudgeOptions) {
    this.#options = options;
  }

  async judge(endpointId: string, failure: AttemptFailure): Promise<Finding> {
    if (NOT_STARTED.has(failure.kind)) {
      // A full engine answers; ejecting it would only press the load onto the others.
      if (failure.kind !== 'rejected') {
        this.#recordFailure(endpointId);
      }
      return 'notStarted';
    }
    const entry = this.#options.registry.get(endpointId);
    const bootId = entry?.state.report?.bootId ?? 'unknown';
    const running = entry?.state.inFlight.map((sent) => sent.fingerprint) ?? [];
    if ((await this.#readBootId(endpointId)) === bootId) {
      return 'connectionLost';
    }
    this.#recordFailure(endpointId);
    this.#recordCrash(endpointId, bootId, running);
    return 'crashed';
  }

  /** The run that an engine says it is in, over a new connection; undefined when it does not answer. */
  async #readBootId(endpointId: string): Promise<string | undefined> {
    const entry = this.#options.registry.get(endpointId);
    const load = await entry?.engine?.readLoad();
    if (load?.isErr === true) {
      entry?.state.recordFailedRead(load.error);
    }
    return load?.isOk === true ? load.value.bootId : undefined;
  }

  /** Several attempts may report the same crash; the first one judges for all that ran. */
  #recordCrash(endpointId: string, bootId: string, running: readonly string[]): void {
    if (this.#judged.get(endpointId) === bootId) {
      return;
    }
    this.#judged.set(endpointId, bootId);
    const evidence = this.#options.poison.recordCrash(endpointId, bootId, [...new Set(running)]);
    this.#options.publish(evidence);
  }

  #recordFailure(endpointId: string): void {
    const { registry, clock } = this.#options;
    const nowMs = clock.nowMs();
    const states = registry.list().map((entry) => entry.state);
    const ejected = states.filter((state) => state.outliers.isEjected(nowMs)).length;
    const mayEject = ejected < states.length / 2;
    registry.get(endpointId)?.state.outliers.recordFailure(nowMs, mayEject);
  }
}
