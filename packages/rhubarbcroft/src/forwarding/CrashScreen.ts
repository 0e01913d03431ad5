/**
 * Screens one request by what may crash its endpoint: refuses it while it or one of its prompt parts is held, interrupts
 * it when one is blamed before its first event, and records its first event, which proves that it crashes no endpoint.
 */
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import isRequestKey from '../decisions/poison/isRequestKey.js';
import type InstanceState from '../instances/InstanceState.js';
import type AttemptResult from './AttemptResult.js';
import type CrashSuspects from './CrashSuspects.js';
import type QuarantineKeeper from './QuarantineKeeper.js';

const FIRST_REDIRECT = 300;

function createRefusal(suspect: string, detail: string, retryAfterMs?: number): Failure {
  const code = isRequestKey(suspect) ? 'REQUEST_QUARANTINED' : 'PART_QUARANTINED';
  return createFailure(code, detail, 'not_run', retryAfterMs);
}

export default class CrashScreen {
  readonly #keeper: QuarantineKeeper;

  readonly #suspects: CrashSuspects;

  readonly #interrupted = new AbortController();

  #unwatch: () => void;

  /** What was blamed while the request waited for its first event. */
  #blamed: string | undefined;

  #isTrial = false;

  #hasBegun = false;

  constructor(keeper: QuarantineKeeper, suspects: CrashSuspects) {
    this.#keeper = keeper;
    this.#suspects = suspects;
    this.#unwatch = keeper.watch(suspects, (suspect) => this.#interrupt(suspect));
  }

  /** Whether the request tests something that has been held. */
  get isTrial(): boolean {
    return this.#isTrial;
  }

  /** Aborts with one of the others, and when the request or one of its parts is blamed before the first event. */
  combine(others: readonly AbortSignal[]): AbortSignal {
    return AbortSignal.any([...others, this.#interrupted.signal]);
  }

  /** Why the request must not be dispatched now; undefined when it may. */
  refuse(): Failure | undefined {
    if (this.#hasBegun) {
      return undefined;
    }
    if (this.#blamed !== undefined) {
      const { message } = this.#interrupted.signal.reason as Error;
      return createRefusal(this.#blamed, message);
    }
    const decision = this.#keeper.admit(this.#suspects);
    if (decision.type === 'held') {
      const { part, crashes, retryAfterMs } = decision;
      const detail = `${crashes} endpoints crashed when they ran ${part}`;
      return createRefusal(part, detail, Math.ceil(retryAfterMs));
    }
    this.#isTrial = decision.type === 'trial';
    return undefined;
  }

  /** Records that the answer has begun. */
  recordAnswer(): void {
    this.#hasBegun = true;
    this.close();
    this.#keeper.recordAnswer(this.#suspects);
  }

  /** Records what an attempt shows about the request and its parts. */
  recordResult(target: InstanceState, result: AttemptResult, wasAborted: boolean): void {
    if (this.#hasBegun) {
      return;
    }
    if (result.type === 'held' && result.answer.status < FIRST_REDIRECT) {
      this.recordAnswer();
    } else if (result.type === 'failed' && result.failure.kind === 'broken' && !wasAborted) {
      this.#keeper.recordBreak(target, this.#suspects);
    }
  }

  /** Ends the screening of the request. */
  close(): void {
    this.#unwatch();
    this.#unwatch = () => undefined;
  }

  #interrupt(suspect: string): void {
    if (!this.#isTrial) {
      this.#blamed = suspect;
      this.#interrupted.abort(new Error(`endpoints crash that run ${suspect}`));
    }
  }
}
