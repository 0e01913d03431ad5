/**
 * Screens one request by its prompt parts: refuses it while one of them is held, interrupts it when one is blamed
 * before its first event, and records its first event, which proves that its parts crash no engine.
 */
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type Prompt from '../decisions/placement/Prompt.js';
import type InstanceState from '../instances/InstanceState.js';
import type AttemptResult from './AttemptResult.js';
import type QuarantineKeeper from './QuarantineKeeper.js';

const FIRST_REDIRECT = 300;

function createRefusal(part: string, crashes: number, retryAfterMs?: number): Failure {
  const detail = `${crashes} engines crashed when they began to answer prompts with part ${part}`;
  return createFailure('PART_QUARANTINED', detail, 'not_run', retryAfterMs);
}

export default class PromptScreen {
  readonly #keeper: QuarantineKeeper;

  readonly #parts: readonly string[];

  readonly #interrupted = new AbortController();

  #unwatch: () => void;

  #isTrial = false;

  #hasBegun = false;

  constructor(keeper: QuarantineKeeper, prompt: Prompt | undefined) {
    this.#keeper = keeper;
    this.#parts = prompt?.parts.slice(0, -1).map(({ id }) => id) ?? [];
    this.#unwatch = keeper.watch(this.#parts, (part) => this.#interrupt(part));
  }

  /** Whether the request tests a part that has been held. */
  get isTrial(): boolean {
    return this.#isTrial;
  }

  /** Aborts with `outer`, and when a part is blamed before the first event. */
  combine(outer: AbortSignal): AbortSignal {
    return this.#parts.length === 0 ? outer : AbortSignal.any([outer, this.#interrupted.signal]);
  }

  /** Why the request must not be dispatched now; undefined when it may. */
  refuse(): Failure | undefined {
    if (this.#hasBegun) {
      return undefined;
    }
    const { signal } = this.#interrupted;
    if (signal.aborted) {
      return createFailure('PART_QUARANTINED', (signal.reason as Error).message, 'not_run');
    }
    const decision = this.#keeper.admit(this.#parts);
    if (decision.type === 'held') {
      const { part, crashes, retryAfterMs } = decision;
      return createRefusal(part, crashes, Math.ceil(retryAfterMs));
    }
    this.#isTrial = decision.type === 'trial';
    return undefined;
  }

  /** Records that the answer has begun. */
  recordAnswer(): void {
    this.#hasBegun = true;
    this.close();
    this.#keeper.recordAnswer(this.#parts);
  }

  /** Records what an attempt shows about the parts of the prompt. */
  recordResult(target: InstanceState, result: AttemptResult, wasAborted: boolean): void {
    if (this.#hasBegun || this.#parts.length === 0) {
      return;
    }
    if (result.type === 'held' && result.answer.status < FIRST_REDIRECT) {
      this.recordAnswer();
    } else if (result.type === 'failed' && result.failure.kind === 'broken' && !wasAborted) {
      this.#keeper.recordBreak(target, this.#parts);
    }
  }

  /** Ends the screening of the request. */
  close(): void {
    this.#unwatch();
    this.#unwatch = () => undefined;
  }

  #interrupt(part: string): void {
    if (!this.#isTrial) {
      this.#interrupted.abort(new Error(`engines crash that answer prompts with part ${part}`));
    }
  }
}
