/**
 * Serves one request: chooses where it goes, runs attempts one after the other, and decides after each
 * whether another may follow. A request that may not be repeated goes on only after an attempt that
 * certainly did not run it.
 */
import type RunState from '@rhubarbcroft/protocol/results/RunState';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import Attempt from './Attempt.js';
import type AttemptResult from './AttemptResult.js';
import type EndpointChooser from './EndpointChooser.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';
import type HeldAnswer from './HeldAnswer.js';
import type Placement from './Placement.js';
import type StreamRelay from './StreamRelay.js';
import type Tried from './Tried.js';

interface ForwarderOptions {
  readonly context: ForwardContext;
  readonly engines: EndpointChooser;
  readonly services: EndpointChooser;
}

/** How the attempts of one request stand. */
interface Progress extends Tried {
  /** Attempts that may have run the request. */
  readonly runs: number;
  readonly ran: RunState;
  readonly last: AttemptResult | undefined;
  /** An endpoint's failure that is passed on if no later attempt does better. */
  readonly held: HeldAnswer | undefined;
}

interface Served {
  /** A whole answer that is still to be sent; undefined when the caller has the stream. */
  readonly answer: HeldAnswer | undefined;
  readonly sends: number;
  readonly instanceId: string;
}

/** Sends of one request at the most, counting those that endpoints declined. */
const MAX_SENDS = 4;
/** Callers leave a stream after two seconds, or eight of its promised pauses; another attempt must come before. */
const MIN_PAUSE_BOUND_MS = 1_000;
const PAUSES_TO_GIVE_UP = 3;
/** When to come back after a refusal, as long as nothing better is known. */
const RETRY_AFTER_MS = 300;
/** Callers heed a time to come back of up to a third of what they have left. */
const MAX_RETRY_AFTER_FRACTION = 0.3;
/**
 * The share of the time left within which a first token must be expected. More urgent work that comes later
 * overtakes what waits at an engine, so a wait is as likely to double as not; what would come in the second
 * half mostly expires there and holds up others.
 */
const FORESEEABLE_FRACTION = 0.5;
/** A stream that is late for its target may still be served: a run that is cut has been prefilled in vain. */
const STREAM_PATIENCE_TARGETS = 3;
const FIRST_SERVER_ERROR = 500;

function findMaxPauseMs({ route }: ForwardRequest): number {
  return Math.max(MIN_PAUSE_BOUND_MS, route.maxEventGapMs * PAUSES_TO_GIVE_UP);
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
  ): Promise<Result<Served, Failure>> {
    const { context } = this.#options;
    context.retries.recordRequest(request.service, context.clock.nowMs());
    let progress: Progress = {
      runs: 0,
      sends: 0,
      ran: 'not_run',
      failedIds: new Set(),
      last: undefined,
      held: undefined,
    };
    let placement = this.#choose(request, progress);
    const hopeless = placement && this.#refuseHopeless(request, placement);
    if (hopeless !== undefined) {
      return err(hopeless);
    }
    while (placement !== undefined && !signal.aborted) {
      const lastEventId = relay.lastEventId ?? request.lastEventId;
      const mayFollow = this.#mayRunAgain(request, progress.runs + 1);
      const attempt = new Attempt(context, {
        request,
        placement,
        relay,
        lastEventId,
        patienceMs: mayFollow ? this.#findPatienceMs(request, placement) : undefined,
        maxPauseMs: mayFollow ? findMaxPauseMs(request) : undefined,
      });
      const result = await attempt.run(signal);
      progress = Forwarder.#advance(progress, placement, result);
      this.#log(request, placement, result, progress);
      if (!this.#mayFollow(request, progress, signal)) {
        return Forwarder.#conclude(progress, placement, signal);
      }
      placement = this.#maySendAgain(request, result) ? this.#choose(request, progress) : undefined;
    }
    return Forwarder.#conclude(progress, placement, signal);
  }

  /** A send that reached no endpoint is no arrival; any other draws on the budget of the fleet. */
  #maySendAgain(request: ForwardRequest, result: AttemptResult): boolean {
    const { retries, clock } = this.#options.context;
    const wasUnsent = result.type === 'failed' && result.failure.kind === 'unsent';
    return wasUnsent || retries.spend(request.service, clock.nowMs());
  }

  #choose(request: ForwardRequest, tried: Tried): Placement | undefined {
    const { engines, services } = this.#options;
    const chooser = request.prompt === undefined ? services : engines;
    return chooser.choose(request, tried);
  }

  /** Refuses at its arrival a request whose first token cannot come before its time is over. */
  #refuseHopeless(request: ForwardRequest, placement: Placement): Failure | undefined {
    const leftMs = request.expiresAtMs - this.#options.context.clock.nowMs();
    const overdueMs = placement.expectedMs - leftMs * FORESEEABLE_FRACTION;
    if (overdueMs <= 0) {
      return undefined;
    }
    const expectedMs = Math.round(placement.expectedMs);
    const detail = `the first token is expected in ${expectedMs} ms, and ${Math.round(leftMs)} ms are left`;
    const retryAfterMs = Math.round(
      Math.min(Math.max(overdueMs, RETRY_AFTER_MS), leftMs * MAX_RETRY_AFTER_FRACTION),
    );
    return createFailure('DEADLINE_UNREACHABLE', detail, 'not_run', retryAfterMs);
  }

  #mayRunAgain(request: ForwardRequest, runs: number): boolean {
    return request.isRepeatable && runs < request.route.maxAttempts;
  }

  /** How long to wait for the first sign of an answer before another attempt is worth more. */
  #findPatienceMs({ route }: ForwardRequest, placement: Placement): number {
    const targets = route.kind === 'stream' ? STREAM_PATIENCE_TARGETS : 1;
    return Math.max(
      route.targetLatencyMs * targets,
      placement.expectedMs * STREAM_PATIENCE_TARGETS,
    );
  }

  #mayFollow(request: ForwardRequest, progress: Progress, signal: AbortSignal): boolean {
    const { last, runs, sends } = progress;
    if (signal.aborted || sends >= MAX_SENDS || last === undefined || last.type === 'streamed') {
      return false;
    }
    if (last.type === 'held' && last.answer.status < FIRST_SERVER_ERROR) {
      return false;
    }
    const certainlyNotRun = last.type === 'failed' && last.ran === 'not_run';
    return certainlyNotRun && runs === 0 ? true : this.#mayRunAgain(request, runs);
  }

  #log(
    request: ForwardRequest,
    placement: Placement,
    result: AttemptResult,
    { sends }: Progress,
  ): void {
    const { log, clock, metrics } = this.#options.context;
    const fields = {
      requestId: request.id,
      route: request.route.name,
      instance: placement.target.instance.id,
      prefillInstance: placement.prefill?.instance.id,
      prefillMs: Math.round(placement.prefillMs),
      expectedMs: Math.round(placement.expectedMs),
      sends,
      tookMs: Math.round(clock.nowMs() - request.arrivedAtMs),
    };
    metrics.increment('attempts', {
      service: request.service,
      result: result.type === 'failed' ? result.failure.kind : result.type,
    });
    if (result.type === 'failed') {
      const { kind, detail } = result.failure;
      log.info({ ...fields, kind, detail, ran: result.ran }, 'attempt failed');
    } else {
      const status = result.type === 'held' ? result.answer.status : undefined;
      log.info({ ...fields, status }, 'attempt answered');
    }
  }

  static #advance(progress: Progress, placement: Placement, result: AttemptResult): Progress {
    const mayHaveRun = result.type !== 'failed' || result.ran !== 'not_run';
    return {
      runs: progress.runs + (mayHaveRun ? 1 : 0),
      sends: progress.sends + 1,
      ran: mayHaveRun ? 'unknown' : progress.ran,
      failedIds: new Set([...progress.failedIds, placement.target.instance.id]),
      last: result,
      held: result.type === 'held' ? result.answer : progress.held,
    };
  }

  static #conclude(
    { last, held, sends, ran }: Progress,
    placement: Placement | undefined,
    signal: AbortSignal,
  ): Result<Served, Failure> {
    const instanceId = placement?.target.instance.id ?? '';
    if (last?.type === 'streamed') {
      return ok({ answer: undefined, sends, instanceId });
    }
    if (held !== undefined) {
      return ok({ answer: held, sends, instanceId });
    }
    if (last === undefined || last.type === 'held') {
      return err(createFailure('NO_ENDPOINT', 'none is known', 'not_run', RETRY_AFTER_MS));
    }
    const { detail } = last.failure;
    if (ran === 'not_run') {
      return err(createFailure('NO_ENDPOINT', detail, 'not_run', RETRY_AFTER_MS));
    }
    const code = signal.aborted ? 'DEADLINE_EXCEEDED' : 'ENDPOINT_FAILED';
    return err(createFailure(code, detail, 'unknown'));
  }
}
