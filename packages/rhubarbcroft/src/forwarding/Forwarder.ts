/**
 * Serves one request: chooses a placement, runs one attempt at a time, and decides after each whether another
 * may follow. A request that must not be repeated is retried only after attempts that certainly did not run it.
 */
import type RunState from '@rhubarbcroft/protocol/results/RunState';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import Attempt from './Attempt.js';
import type AttemptResult from './AttemptResult.js';
import CrashScreen from './CrashScreen.js';
import CrashSuspects from './CrashSuspects.js';
import type EndpointChooser from './EndpointChooser.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';
import type BufferedAnswer from './BufferedAnswer.js';
import NextAttempt from './NextAttempt.js';
import type Placement from './Placement.js';
import type QuarantineKeeper from './QuarantineKeeper.js';
import type StreamRelay from './StreamRelay.js';
import type AttemptHistory from './AttemptHistory.js';
import logAttempt from './logAttempt.js';

interface ForwarderOptions {
  readonly context: ForwardContext;
  readonly engines: EndpointChooser;
  readonly services: EndpointChooser;
  readonly keeper: QuarantineKeeper;
}

/** State of a request between its attempts. */
interface Progress extends AttemptHistory {
  /** Number of attempts that may have run the request. */
  readonly runs: number;
  readonly ran: RunState;
  readonly last: AttemptResult | undefined;
  /** The latest buffered answer, usually an endpoint's failure; it is sent unless a later attempt gives a better one. */
  readonly held: BufferedAnswer | undefined;
}

interface ForwardResult {
  /** The buffered answer to send to the caller; undefined when the stream has been relayed. */
  readonly answer: BufferedAnswer | undefined;
  readonly sends: number;
  readonly instanceId: string;
}

/** Maximum number of dispatches of one request, including those that endpoints declined. */
const MAX_DISPATCHES = 4;
/**
 * Callers abandon a stream after two seconds, or after eight of its promised gaps; another attempt must start earlier,
 * but a sound endpoint may be silent for a second or so.
 */
const MAX_PAUSE_FLOOR_MS = 1_500;
const MAX_PAUSE_EVENT_GAPS = 3;
/** Retry-After of a refusal without a better estimate. */
const RETRY_AFTER_MS = 300;
/** Callers honour a Retry-After of up to a third of their remaining time. */
const MAX_RETRY_AFTER_FRACTION = 0.3;
/**
 * Fraction of the remaining time within which the first token must be expected. More urgent requests that
 * arrive later overtake those that wait at an engine, so an estimated wait is as likely to double as not. A
 * request whose first token is expected in the second half mostly expires at the engine and delays others.
 */
const FIRST_TOKEN_BUDGET_FRACTION = 0.5;
/**
 * Factor on the latency target of a stream and on the expected time of any request. A late stream may still be
 * served, and a run that is cut off wastes its prefill.
 */
const LATE_ANSWER_FACTOR = 3;
const FIRST_SERVER_ERROR = 500;

function findMaxPauseMs({ route }: ForwardRequest): number {
  return Math.max(MAX_PAUSE_FLOOR_MS, route.maxEventGapMs * MAX_PAUSE_EVENT_GAPS);
}

export default class Forwarder {
  readonly #options: ForwarderOptions;

  constructor(options: ForwarderOptions) {
    this.#options = options;
  }

  async forward(
    request: ForwardRequest,
    relay: StreamRelay,
    signal: AbortSignal,
  ): Promise<Result<ForwardResult, Failure>> {
    const { context, keeper } = this.#options;
    context.retryBudget.recordRequest(request.service, context.clock.nowMs());
    const screen = new CrashScreen(keeper, new CrashSuspects(request));
    relay.onFirstEvent(() => screen.recordAnswer());
    try {
      const held = screen.refuse();
      return held === undefined ? await this.#forward(request, relay, screen, signal) : err(held);
    } finally {
      screen.close();
    }
  }

  async #forward(
    request: ForwardRequest,
    relay: StreamRelay,
    screen: CrashScreen,
    signal: AbortSignal,
  ): Promise<Result<ForwardResult, Failure>> {
    const { context } = this.#options;
    let progress: Progress = {
      runs: 0,
      sends: 0,
      ran: 'not_run',
      triedIds: new Set(),
      last: undefined,
      held: undefined,
    };
    let placement = this.#choose(request, progress, screen);
    const refusal = placement && this.#refuseUnreachableDeadline(request, placement);
    if (refusal !== undefined) {
      return err(refusal);
    }
    const attemptSignal = screen.combine(signal);
    while (placement !== undefined && !signal.aborted) {
      const lastEventId = relay.lastEventId ?? request.lastEventId;
      const mayRunAgain =
        progress.sends + 1 < MAX_DISPATCHES && this.#mayRunAgain(request, progress.runs + 1);
      const next = new NextAttempt(context, this.#findChooser(request), request, {
        triedIds: new Set([...progress.triedIds, placement.target.instance.id]),
        sends: progress.sends + 1,
      });
      const attempt = new Attempt(context, {
        request,
        placement,
        relay,
        lastEventId,
        answerTimeoutMs: mayRunAgain ? this.#findAnswerTimeoutMs(request, placement) : undefined,
        maxPauseMs: mayRunAgain ? findMaxPauseMs(request) : undefined,
        secureNext: () => next.secure(),
      });
      const result = await attempt.run(attemptSignal);
      screen.recordResult(placement.target, result, attemptSignal.aborted);
      progress = Forwarder.#recordResult(progress, placement, result, relay.hasBegun);
      logAttempt(context, request, placement, result, progress.sends);
      if (!this.#mayRetry(request, progress, signal)) {
        return Forwarder.#conclude(progress, placement, signal);
      }
      const held = screen.refuse();
      if (held !== undefined) {
        return progress.ran === 'not_run'
          ? err(held)
          : Forwarder.#conclude(progress, placement, signal);
      }
      placement = next.placement ?? this.#chooseRetry(request, progress, result, screen);
    }
    return Forwarder.#conclude(progress, placement, signal);
  }

  /** Whether the retry budget allows another dispatch. One after an attempt that reached no endpoint is free. */
  #spendRetry(request: ForwardRequest, result: AttemptResult): boolean {
    const { retryBudget, clock } = this.#options.context;
    const wasUnsent = result.type === 'failed' && result.failure.kind === 'unsent';
    return wasUnsent || retryBudget.spend(request.service, clock.nowMs());
  }

  #chooseRetry(
    request: ForwardRequest,
    history: AttemptHistory,
    result: AttemptResult,
    screen: CrashScreen,
  ): Placement | undefined {
    return this.#spendRetry(request, result) ? this.#choose(request, history, screen) : undefined;
  }

  /** Chooses a placement. A test of what was held uses one engine, since a separate prefill would be in vain. */
  #choose(
    request: ForwardRequest,
    { triedIds, sends }: AttemptHistory,
    screen: CrashScreen,
  ): Placement | undefined {
    return this.#findChooser(request).choose(request, {
      triedIds,
      sends: screen.isTrial ? Math.max(1, sends) : sends,
    });
  }

  #findChooser({ prompt }: ForwardRequest): EndpointChooser {
    const { engines, services } = this.#options;
    return prompt === undefined ? services : engines;
  }

  /** Refuses a request on arrival when its first token is expected too late for its deadline. */
  #refuseUnreachableDeadline(request: ForwardRequest, placement: Placement): Failure | undefined {
    const remainingMs = request.expiresAtMs - this.#options.context.clock.nowMs();
    const excessMs = placement.expectedMs - remainingMs * FIRST_TOKEN_BUDGET_FRACTION;
    if (excessMs <= 0) {
      return undefined;
    }
    const expectedMs = Math.round(placement.expectedMs);
    const detail = `the first token is expected in ${expectedMs} ms, but the deadline is in ${Math.round(remainingMs)} ms`;
    const retryAfterMs = Math.round(
      Math.min(Math.max(excessMs, RETRY_AFTER_MS), remainingMs * MAX_RETRY_AFTER_FRACTION),
    );
    return createFailure('DEADLINE_UNREACHABLE', detail, 'not_run', retryAfterMs);
  }

  #mayRunAgain(request: ForwardRequest, runs: number): boolean {
    return request.isRepeatable && runs < request.route.maxAttempts;
  }

  /** Time limit for a buffered answer or a stream's first event, after which another attempt is worth more. */
  #findAnswerTimeoutMs({ route }: ForwardRequest, placement: Placement): number {
    const factor = route.kind === 'stream' ? LATE_ANSWER_FACTOR : 1;
    return Math.max(route.targetLatencyMs * factor, placement.expectedMs * LATE_ANSWER_FACTOR);
  }

  #mayRetry(request: ForwardRequest, progress: Progress, signal: AbortSignal): boolean {
    const { last, runs, sends } = progress;
    if (
      signal.aborted ||
      sends >= MAX_DISPATCHES ||
      last === undefined ||
      last.type === 'streamed'
    ) {
      return false;
    }
    if (last.type === 'held' && last.answer.status < FIRST_SERVER_ERROR) {
      return false;
    }
    const wasNotRun = last.type === 'failed' && last.ran === 'not_run';
    return wasNotRun && runs === 0 ? true : this.#mayRunAgain(request, runs);
  }

  static #recordResult(
    progress: Progress,
    placement: Placement,
    result: AttemptResult,
    hasBegun: boolean,
  ): Progress {
    const mayHaveRun = result.type !== 'failed' || result.ran !== 'not_run';
    const held = result.type === 'held' ? result.answer : progress.held;
    return {
      runs: progress.runs + (mayHaveRun ? 1 : 0),
      sends: progress.sends + 1,
      ran: mayHaveRun ? 'unknown' : progress.ran,
      triedIds: new Set([...progress.triedIds, placement.target.instance.id]),
      last: result,
      // A buffered answer of an earlier attempt can't follow the head of a stream.
      held: hasBegun ? undefined : held,
    };
  }

  static #conclude(
    { last, held, sends, ran }: Progress,
    placement: Placement | undefined,
    signal: AbortSignal,
  ): Result<ForwardResult, Failure> {
    const instanceId = placement?.target.instance.id ?? '';
    if (last?.type === 'streamed') {
      return ok({ answer: undefined, sends, instanceId });
    }
    if (held !== undefined) {
      return ok({ answer: held, sends, instanceId });
    }
    if (last === undefined || last.type === 'held') {
      return err(
        createFailure(
          'NO_ENDPOINT',
          'no endpoint of the service is available',
          'not_run',
          RETRY_AFTER_MS,
        ),
      );
    }
    const { detail } = last.failure;
    if (ran === 'not_run') {
      return err(createFailure('NO_ENDPOINT', detail, 'not_run', RETRY_AFTER_MS));
    }
    const code = signal.aborted ? 'DEADLINE_EXCEEDED' : 'ENDPOINT_FAILED';
    return err(createFailure(code, detail, 'unknown'));
  }
}
