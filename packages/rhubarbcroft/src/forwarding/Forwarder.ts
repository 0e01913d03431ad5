/**
 * Serves one request: chooses a placement, runs one attempt at a time, and decides after each whether another
 * may follow. A request that must not be repeated is retried only after attempts that certainly did not run it.
 */
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type AdmissionChoice from './AdmissionChoice.js';
import Attempt from './Attempt.js';
import type AttemptHistory from './AttemptHistory.js';
import type AttemptResult from './AttemptResult.js';
import AttemptRun from './AttemptRun.js';
import CrashScreen from './CrashScreen.js';
import CrashSuspects from './CrashSuspects.js';
import type EndpointChooser from './EndpointChooser.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardProgress from './ForwardProgress.js';
import type ForwardRequest from './ForwardRequest.js';
import FirstRun from './FirstRun.js';
import type ForwardResult from './ForwardResult.js';
import HandOver from './HandOver.js';
import NextAttempt from './NextAttempt.js';
import type Placement from './Placement.js';
import type QuarantineKeeper from './QuarantineKeeper.js';
import type StreamRelay from './StreamRelay.js';
import concludeRequest from './concludeRequest.js';
import delayReturn from './delayReturn.js';
import logAttempt from './logAttempt.js';
import recordAttemptBegin from './recordAttemptBegin.js';
import recordAttemptEnd from './recordAttemptEnd.js';
import refuseArrival from './refuseArrival.js';

interface ForwarderOptions {
  readonly context: ForwardContext;
  readonly admission: AdmissionChoice;
  readonly engines: EndpointChooser;
  readonly services: EndpointChooser;
  readonly keeper: QuarantineKeeper;
}

/** A request while it is forwarded. */
interface Job {
  readonly request: ForwardRequest;
  readonly relay: StreamRelay;
  readonly screen: CrashScreen;
  readonly firstRun: FirstRun;
  readonly signal: AbortSignal;
}

/** Maximum number of dispatches of one request, including those that endpoints declined. */
const MAX_DISPATCHES = 4;
/**
 * Callers abandon a stream after two seconds, or after eight of its promised gaps; another attempt must start earlier,
 * but a sound endpoint may be silent for a second or so.
 */
const MAX_PAUSE_FLOOR_MS = 1_500;
const MAX_PAUSE_EVENT_GAPS = 3;
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
    const { context, admission, keeper } = this.#options;
    context.retryBudget.recordRequest(request.service, context.clock.nowMs());
    const screen = new CrashScreen(keeper, new CrashSuspects(request));
    const firstRun = new FirstRun(context, request);
    relay.onFirstEvent(() => {
      screen.recordAnswer();
      firstRun.record();
    });
    try {
      const held = screen.refuse();
      if (held !== undefined) {
        return err(held);
      }
      const result = await this.#forward({ request, relay, screen, firstRun, signal });
      return result.mapErr((failure) => delayReturn(context, admission, request, failure));
    } finally {
      screen.close();
    }
  }

  async #forward(job: Job): Promise<Result<ForwardResult, Failure>> {
    const { request, relay, screen, signal } = job;
    let progress: ForwardProgress = {
      runs: 0,
      sends: 0,
      ran: 'not_run',
      triedIds: new Set(),
      last: undefined,
      held: undefined,
    };
    const first = this.#chooseFirst(job, progress);
    if (first.isErr) {
      return err(first.error);
    }
    let placement = first.value;
    let run = placement && this.#begin(job, placement, progress);
    while (run !== undefined && !signal.aborted) {
      placement = run.placement;
      relay.instanceId = placement.target.instance.id;
      run.lead();
      const result = await run.result;
      const standby = run.handOver.take();
      progress = [...run.handOver.ended, { placement, result }].reduce(recordAttemptEnd, progress);
      if (relay.hasBegun) {
        // A buffered answer of an earlier attempt can't follow the head of a stream.
        progress = { ...progress, held: undefined };
      }
      const mayRetry = this.#mayRetry(request, progress, signal);
      const held = mayRetry ? screen.refuse() : undefined;
      if (!mayRetry || held !== undefined) {
        standby?.cancel('the request has ended');
        return held !== undefined && progress.ran === 'not_run'
          ? err(held)
          : concludeRequest(progress, placement, signal);
      }
      run = standby ?? this.#beginRetry(job, progress, result);
      placement = run?.placement;
    }
    run?.cancel('the request has ended');
    return concludeRequest(progress, placement, signal);
  }

  /** Begins an attempt. It uses the relay only once it leads. */
  #begin(job: Job, placement: Placement, progress: ForwardProgress): AttemptRun {
    const { request, relay, screen } = job;
    const mayRunAgain =
      progress.sends + 1 < MAX_DISPATCHES && this.#mayRunAgain(request, progress.runs + 1);
    const begun = recordAttemptBegin(progress, placement);
    const sumUp = (ended: HandOver['ended']): ForwardProgress =>
      ended.reduce(recordAttemptEnd, begun);
    const next = new NextAttempt(this.#options.context, this.#findChooser(request), request);
    const handOver = new HandOver({
      secure: (ended) => {
        const { runs, sends, triedIds } = sumUp(ended);
        const mayFollow = sends < MAX_DISPATCHES && this.#mayRunAgain(request, runs);
        return mayFollow && !screen.isTrial ? next.secure({ triedIds, sends }) : undefined;
      },
      begin: (following, ended) => this.#begin(job, following, sumUp(ended)),
    });
    const run: AttemptRun = new AttemptRun({
      placement,
      handOver,
      run: async (gate, cancelled) => {
        const signal = screen.combine([job.signal, cancelled]);
        const attempt = new Attempt(this.#options.context, {
          request,
          placement,
          relay,
          gate,
          lastEventId: relay.lastEventId ?? request.lastEventId,
          answerTimeoutMs: mayRunAgain ? this.#findAnswerTimeoutMs(request, placement) : undefined,
          maxPauseMs: mayRunAgain ? findMaxPauseMs(request) : undefined,
          // An attempt that does not lead yet is handed over by nobody.
          handOver: async (silence) => run.isLeading && handOver.start(silence),
        });
        const result = await attempt.run(signal).catch((error: Error) => {
          const { id: requestId } = request;
          this.#options.context.log.error({ requestId, err: error }, 'attempt failed internally');
          throw error;
        });
        screen.recordResult(placement.target, result, signal.aborted);
        job.firstRun.recordResult(result);
        logAttempt(this.#options.context, request, placement, result, progress.sends + 1);
        return result;
      },
    });
    return run;
  }

  #chooseFirst(
    { request, screen }: Job,
    progress: ForwardProgress,
  ): Result<Placement | undefined, Failure> {
    const placement = this.#choose(request, progress, screen);
    const { context, admission } = this.#options;
    const refusal = placement && refuseArrival(context, admission, request, placement);
    const isRefused = placement === undefined || refusal !== undefined;
    context.demand?.record(request, placement, isRefused);
    return refusal === undefined ? ok(placement) : err(refusal);
  }

  #beginRetry(job: Job, progress: ForwardProgress, result: AttemptResult): AttemptRun | undefined {
    const placement = this.#chooseRetry(job.request, progress, result, job.screen);
    return placement && this.#begin(job, placement, progress);
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

  #mayRunAgain(request: ForwardRequest, runs: number): boolean {
    return request.isRepeatable && runs < request.route.maxAttempts;
  }

  /** Time limit for a buffered answer or a stream's first event, after which another attempt is worth more. */
  #findAnswerTimeoutMs({ route }: ForwardRequest, placement: Placement): number {
    const factor = route.kind === 'stream' ? LATE_ANSWER_FACTOR : 1;
    return Math.max(route.targetLatencyMs * factor, placement.expectedMs * LATE_ANSWER_FACTOR);
  }

  #mayRetry(request: ForwardRequest, progress: ForwardProgress, signal: AbortSignal): boolean {
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
}
