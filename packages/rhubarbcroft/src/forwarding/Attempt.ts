/**
 * One attempt to serve a request at one placement, from the prefill to the end of the answer, as sequential
 * code. It checks that the answer belongs to this request, is signed and is complete, and reports for a
 * failure whether the request may have run.
 */
import { randomUUID } from 'node:crypto';
import StepMeter from '../decisions/pace/StepMeter.js';
import type EndpointConnection from '../instances/EndpointConnection.js';
import type AttemptFailure from '../endpoints/AttemptFailure.js';
import type EndpointAnswer from '../instances/EndpointAnswer.js';
import type AttemptGate from './AttemptGate.js';
import type AttemptResult from './AttemptResult.js';
import type DispatchMetadata from './DispatchMetadata.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';
import type KvSource from './KvSource.js';
import type Placement from './Placement.js';
import PrefillCall from './PrefillCall.js';
import ProgressWatchdog from './ProgressWatchdog.js';
import type StreamRelay from './StreamRelay.js';
import findAnswerFault from './findAnswerFault.js';
import recordAnswerHead from './recordAnswerHead.js';
import recordSteps from './recordSteps.js';
import recordServiceTime from './recordServiceTime.js';
import recordDispatch from './recordDispatch.js';
import recordOutcome from './recordOutcome.js';
import readWholeBody from './readWholeBody.js';

interface AttemptOptions {
  readonly request: ForwardRequest;
  readonly placement: Placement;
  readonly relay: StreamRelay;
  /** The id of the event after which a stream resumes. */
  readonly lastEventId: string | undefined;
  /**
   * Time limit for a buffered answer, or for a stream's first event with data; undefined
   * when no other attempt may follow.
   */
  readonly answerTimeoutMs: number | undefined;
  /** Longest pause between events with data after a stream's first one; undefined when no other attempt may follow. */
  readonly maxPauseMs: number | undefined;
  readonly gate: AttemptGate;
  /** Starts an attempt that follows this one; this one is given up for its silence only if that is accepted. */
  readonly handOver: (progress: AbortSignal) => Promise<boolean>;
}

/** Allowance for producing the first event and for the round trip to another region. */
const FIRST_EVENT_MARGIN_MS = 120;
/**
 * An endpoint that has not declined a request by this time is taken to have accepted it: a refusal takes a round trip,
 * and two endpoints may be at work on one request for less than half a second.
 */
const ACCEPTANCE_MS = 300;
const STATUS_OK = 200;

export default class Attempt {
  readonly #context: ForwardContext;

  readonly #options: AttemptOptions;

  readonly #id = randomUUID();

  constructor(context: ForwardContext, options: AttemptOptions) {
    this.#context = context;
    this.#options = options;
  }

  async run(signal: AbortSignal): Promise<AttemptResult> {
    const { request, placement } = this.#options;
    const { target } = placement;
    const prefill = new PrefillCall(this.#context, request, placement);
    const kvSource = await prefill.run(signal);
    if (signal.aborted) {
      prefill.release();
      return {
        type: 'failed',
        failure: { kind: 'unsent', detail: 'the request ended before it was dispatched' },
        ran: 'not_run',
      };
    }
    if (prefill.needsRetry && !this.#spendRetry()) {
      const detail = 'the prefill failed and the retry budget is exhausted';
      return { type: 'failed', failure: { kind: 'rejected', detail }, ran: 'not_run' };
    }
    if (!this.#canDispatch()) {
      prefill.release();
      const detail = 'the endpoint became unavailable during the prefill';
      return { type: 'failed', failure: { kind: 'unsent', detail }, ran: 'not_run' };
    }
    target.beginAttempt(this.#context.clock.nowMs());
    this.#recordDispatch(kvSource);
    const result = await this.#dispatch(kvSource, signal);
    target.endAttempt();
    target.discardPrefill(this.#id);
    if (!signal.aborted) {
      recordOutcome(this.#context, target, result);
    }
    if (result.type === 'failed' && result.ran === 'not_run') {
      prefill.release();
    }
    return result;
  }

  /** Whether the target is still available after the prefill, which can take seconds. */
  #canDispatch(): boolean {
    const { request, placement } = this.#options;
    return (
      placement.prefill === undefined ||
      this.#context.registry.listAvailable(request.service).includes(placement.target)
    );
  }

  /** Estimated duration of a prefill on the target itself, also when it replaces a failed separate prefill. */
  get #targetPrefillMs(): number {
    const { request, placement } = this.#options;
    const { prompt } = request;
    if (placement.prefill === undefined || prompt === undefined) {
      return placement.prefillMs;
    }
    const cachedTokens = placement.target.kvCache.countCachedTokens(prompt.parts);
    const newTokens = Math.max(0, prompt.promptTokens - cachedTokens);
    return this.#context.speeds.estimatePrefillMs('decode', newTokens, cachedTokens);
  }

  /**
   * A prefill call that may have been rejected counts as an arrival, so the dispatch after it is a second one
   * and draws on the retry budget.
   */
  #spendRetry(): boolean {
    const { retryBudget, clock } = this.#context;
    return retryBudget.spend(this.#options.request.service, clock.nowMs());
  }

  /** Expected time to the first token, in milliseconds from now. */
  #expectedMs(kvSource: KvSource | undefined): number {
    const { placement } = this.#options;
    const latencyMs = this.#context.speeds.latencyMs + FIRST_EVENT_MARGIN_MS;
    return kvSource === undefined && placement.prefill === undefined
      ? placement.expectedMs + FIRST_EVENT_MARGIN_MS
      : latencyMs + (kvSource === undefined ? this.#targetPrefillMs : 0);
  }

  #recordDispatch(kvSource: KvSource | undefined): void {
    const { request, placement } = this.#options;
    const { target } = placement;
    if (request.prompt !== undefined) {
      recordDispatch(this.#context, request, target, {
        attemptId: this.#id,
        prefillMs: kvSource === undefined ? this.#targetPrefillMs : 0,
        generates: true,
        expectedMs: this.#expectedMs(kvSource),
      });
    }
  }

  async #dispatch(kvSource: KvSource | undefined, signal: AbortSignal): Promise<AttemptResult> {
    const { request, placement, answerTimeoutMs, handOver } = this.#options;
    const mayRetry = answerTimeoutMs !== undefined;
    const watchdog = new ProgressWatchdog({
      request: signal,
      lost: mayRetry ? placement.target.unreachableSignal : undefined,
      handOver,
    });
    watchdog.expect(answerTimeoutMs);
    const { pool } = placement.target;
    let connection = pool.acquire(request.isRepeatable);
    try {
      let result = await this.#exchange(connection, kvSource, watchdog);
      if (connection.wasClosedUnused) {
        connection = pool.acquire(false);
        result = await this.#exchange(connection, kvSource, watchdog);
      }
      if (result.type === 'failed') {
        connection.close();
      } else {
        pool.release(connection);
      }
      return result;
    } finally {
      watchdog.close();
    }
  }

  #describeDispatch(kvSource: KvSource | undefined): DispatchMetadata {
    const { request, placement, lastEventId } = this.#options;
    return {
      requestId: request.id,
      account: request.account,
      instanceId: placement.target.instance.id,
      deadlineMs: Math.max(1, Math.floor(request.expiresAtMs - this.#context.clock.nowMs())),
      lastEventId,
      priority: request.prompt === undefined ? undefined : request.rank,
      prefillOnly: false,
      copyFromAddress: this.#findCopyAddress(kvSource),
      kvSource,
    };
  }

  async #exchange(
    connection: EndpointConnection,
    kvSource: KvSource | undefined,
    watchdog: ProgressWatchdog,
  ): Promise<AttemptResult> {
    const { request, placement, relay, gate } = this.#options;
    const { protocol, clock } = this.#context;
    const dispatch = this.#describeDispatch(kvSource);
    const headers = protocol.buildRequestHeaders(request.rawHeaders, dispatch);
    const { method, path, body } = request;
    let acceptance: NodeJS.Timeout | undefined;
    const sentAtMs = clock.nowMs();
    const sent = await connection.send({ method, path, headers, body }, watchdog.signal, () => {
      acceptance = setTimeout(gate.accept, ACCEPTANCE_MS);
    });
    clearTimeout(acceptance);
    if (sent.isErr) {
      return this.#toFailedResult(sent.error, watchdog);
    }
    const answer = sent.value;
    const metadata = protocol.parseAnswerHead(answer.status, answer.rawHeaders);
    recordAnswerHead(this.#context, placement.target, metadata);
    const fault = findAnswerFault(request.id, metadata, answer, relay.hasBegun);
    if (fault !== undefined) {
      return {
        type: 'failed',
        failure: fault,
        ran: fault.kind === 'rejected' ? 'not_run' : 'unknown',
      };
    }
    gate.accept();
    await gate.turn;
    try {
      watchdog.signal.throwIfAborted();
      if (this.#hasMovedOn) {
        throw new Error('the stream went on elsewhere before this attempt could follow');
      }
      if (request.route.kind !== 'stream' || answer.status !== STATUS_OK) {
        const completeBody = await readWholeBody(answer.body, (bytes) => relay.reserve(bytes));
        const tookMs = clock.nowMs() - sentAtMs;
        recordServiceTime(this.#context, placement.target, { ...metadata, ...answer }, tookMs);
        return { type: 'held', answer: { ...answer, body: completeBody } };
      }
      await this.#relay(answer, watchdog);
      return { type: 'streamed' };
    } catch (error) {
      return this.#toFailedResult({ kind: 'broken', detail: (error as Error).message }, watchdog);
    }
  }

  /** Whether the caller has received events since this attempt was dispatched, which it would repeat. */
  get #hasMovedOn(): boolean {
    const { relay, request, lastEventId } = this.#options;
    return (relay.lastEventId ?? request.lastEventId) !== lastEventId;
  }

  async #relay(answer: EndpointAnswer, watchdog: ProgressWatchdog): Promise<void> {
    const { relay, placement } = this.#options;
    const { clock } = this.#context;
    const steps = new StepMeter();
    relay.begin(answer);
    this.#expectProgress(watchdog);
    await relay.relay(answer.body, {
      advance: () => {
        steps.recordEvent(clock.nowMs());
        this.#expectProgress(watchdog);
      },
      pause: () => watchdog.expect(undefined),
      resume: () => {
        steps.restart();
        this.#expectProgress(watchdog);
      },
    });
    recordSteps(this.#context, placement.target, steps);
  }

  #expectProgress(watchdog: ProgressWatchdog): void {
    const { relay, answerTimeoutMs, maxPauseMs, placement } = this.#options;
    if (relay.hasEvents) {
      placement.target.completePrefill(this.#id, this.#context.clock.nowMs());
    }
    watchdog.expect(relay.hasEvents ? maxPauseMs : answerTimeoutMs);
  }

  #toFailedResult(failure: AttemptFailure, watchdog: ProgressWatchdog): AttemptResult {
    const kind = watchdog.wasSilent && failure.kind === 'broken' ? 'silent' : failure.kind;
    return {
      type: 'failed',
      failure: { ...failure, kind },
      ran: failure.kind === 'unsent' ? 'not_run' : 'unknown',
    };
  }

  /** A prompt that continues from a finished prefill needs no copy, since its whole KV cache is transferred. */
  #findCopyAddress(kvSource: KvSource | undefined): string | undefined {
    const { target, copyFrom } = this.#options.placement;
    return kvSource === undefined && copyFrom !== target ? copyFrom?.instance.address : undefined;
  }
}
