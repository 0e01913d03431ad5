/**
 * One attempt to serve a request at one placement, from the prefill to the end of the answer, written
 * straight down. It checks that the answer is this request's, signed and whole, and says of a failure
 * whether the request may have run.
 */
import { randomUUID } from 'node:crypto';
import type EndpointConnection from '../instances/EndpointConnection.js';
import type AttemptFailure from '../endpoints/AttemptFailure.js';
import type AnswerMarks from './AnswerMarks.js';
import type AttemptResult from './AttemptResult.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';
import type KvSource from './KvSource.js';
import type Placement from './Placement.js';
import PrefillCall from './PrefillCall.js';
import ProgressWatch from './ProgressWatch.js';
import type StreamRelay from './StreamRelay.js';
import noteSend from './noteSend.js';
import noteUnreachable from './noteUnreachable.js';
import readWholeBody from './readWholeBody.js';

interface AttemptOptions {
  readonly request: ForwardRequest;
  readonly placement: Placement;
  readonly relay: StreamRelay;
  /** The event after which a stream goes on. */
  readonly lastEventId: string | undefined;
  /** How long to wait for the first sign of an answer, when another attempt could follow. */
  readonly patienceMs: number | undefined;
  /** How long a stream may pause, when another attempt could follow. */
  readonly maxPauseMs: number | undefined;
}

/** What a first event's own steps, and the way to another region and back, add. */
const MARGIN_MS = 120;
const STATUS_OK = 200;
const FIRST_REDIRECT = 300;

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
      return { type: 'failed', failure: { kind: 'unsent', detail: 'too late' }, ran: 'not_run' };
    }
    if (prefill.wasTurnedAway && !this.#spendRetry()) {
      const detail = 'the prefill was declined and the retry budget is spent';
      return { type: 'failed', failure: { kind: 'rejected', detail }, ran: 'not_run' };
    }
    if (!this.#mayStillSend()) {
      prefill.release();
      const detail = 'the endpoint began to leave during the prefill';
      return { type: 'failed', failure: { kind: 'unsent', detail }, ran: 'not_run' };
    }
    target.begin(this.#context.clock.nowMs());
    this.#notePrompt(kvSource);
    const result = await this.#send(kvSource, signal);
    target.end();
    target.dropPrompt(this.#id);
    if (!signal.aborted) {
      this.#judge(result);
    }
    if (result.type === 'failed' && result.ran === 'not_run') {
      prefill.release();
    }
    return result;
  }

  /** Whether the target is still one that may be given work: a prefill can take seconds. */
  #mayStillSend(): boolean {
    const { request, placement } = this.#options;
    return (
      placement.prefill === undefined ||
      this.#context.registry.listAvailable(request.service).includes(placement.target)
    );
  }

  /** How long the target's own prefill is thought to take, also when it steps in for one that failed. */
  get #costMs(): number {
    const { request, placement } = this.#options;
    const { prompt } = request;
    if (placement.prefill === undefined || prompt === undefined) {
      return placement.prefillMs;
    }
    const cachedTokens = placement.target.cache.countCached(prompt.parts);
    const newTokens = Math.max(0, prompt.promptTokens - cachedTokens);
    return this.#context.speeds.estimatePrefillMs('decode', newTokens, cachedTokens);
  }

  /** A prefill call that was not taken counts as an arrival, and what follows as another. */
  #spendRetry(): boolean {
    const { retries, clock } = this.#context;
    return retries.spend(this.#options.request.service, clock.nowMs());
  }

  /** When the first token is expected, from now on. */
  #expectedMs(kvSource: KvSource | undefined): number {
    const { placement } = this.#options;
    const latencyMs = this.#context.speeds.latencyMs + MARGIN_MS;
    return kvSource === undefined && placement.prefill === undefined
      ? placement.expectedMs + MARGIN_MS
      : latencyMs + (kvSource === undefined ? this.#costMs : 0);
  }

  #notePrompt(kvSource: KvSource | undefined): void {
    const { request, placement } = this.#options;
    const { target } = placement;
    if (request.prompt !== undefined) {
      noteSend(this.#context, request, target, {
        attemptId: this.#id,
        prefillMs: kvSource === undefined ? this.#costMs : 0,
        generates: true,
        expectedMs: this.#expectedMs(kvSource),
      });
    }
  }

  async #send(kvSource: KvSource | undefined, signal: AbortSignal): Promise<AttemptResult> {
    const { request, placement, patienceMs } = this.#options;
    const mayFollow = patienceMs !== undefined;
    const watch = new ProgressWatch(signal, mayFollow ? placement.target.lost : undefined);
    watch.expect(patienceMs);
    const connection = placement.target.pool.take(request.isRepeatable);
    try {
      const result = await this.#exchange(connection, kvSource, watch);
      if (result.type === 'failed') {
        connection.close();
      } else {
        placement.target.pool.give(connection);
      }
      return result;
    } finally {
      watch.close();
    }
  }

  async #exchange(
    connection: EndpointConnection,
    kvSource: KvSource | undefined,
    watch: ProgressWatch,
  ): Promise<AttemptResult> {
    const { request, placement, relay, lastEventId } = this.#options;
    const { protocol, clock } = this.#context;
    const headers = protocol.writeRequest(request.rawHeaders, {
      requestId: request.id,
      instanceId: placement.target.instance.id,
      deadlineMs: Math.max(1, Math.floor(request.expiresAtMs - clock.nowMs())),
      lastEventId,
      priority: request.prompt === undefined ? undefined : request.route.rank,
      prefillOnly: false,
      copyFromAddress: this.#findCopyAddress(kvSource),
      kvSource,
    });
    const { method, path, body } = request;
    const sent = await connection.send({ method, path, headers, body }, watch.signal);
    if (sent.isErr) {
      return this.#fail(sent.error, watch);
    }
    const answer = sent.value;
    const marks = protocol.readAnswer(answer.status, answer.rawHeaders);
    this.#noteAnswer(marks);
    const wrong = this.#findWrong(marks, answer.status);
    if (wrong !== undefined) {
      return { type: 'failed', failure: wrong, ran: marks.isDeclined ? 'not_run' : 'unknown' };
    }
    try {
      if (request.route.kind !== 'stream' || answer.status !== STATUS_OK) {
        const whole = await readWholeBody(answer.body);
        return { type: 'held', answer: { ...answer, body: whole } };
      }
      relay.begin(answer);
      this.#expectEvents(watch);
      await relay.relay(answer.body, () => this.#expectEvents(watch));
      return { type: 'streamed' };
    } catch (error) {
      return this.#fail({ kind: 'broken', detail: (error as Error).message }, watch);
    }
  }

  #expectEvents(watch: ProgressWatch): void {
    const { relay, patienceMs, maxPauseMs, placement } = this.#options;
    if (relay.hasEvents) {
      placement.target.endPrompt(this.#id, this.#context.clock.nowMs());
    }
    watch.expect(relay.hasEvents ? maxPauseMs : patienceMs);
  }

  #fail(failure: AttemptFailure, watch: ProgressWatch): AttemptResult {
    const kind = watch.wasSilent && failure.kind === 'broken' ? 'silent' : failure.kind;
    return {
      type: 'failed',
      failure: { ...failure, kind },
      ran: failure.kind === 'unsent' ? 'not_run' : 'unknown',
    };
  }

  /** A prompt that goes on from a finished prefill lacks nothing. */
  #findCopyAddress(kvSource: KvSource | undefined): string | undefined {
    const { target, copyFrom } = this.#options.placement;
    return kvSource === undefined && copyFrom !== target ? copyFrom?.instance.address : undefined;
  }

  #noteAnswer(marks: AnswerMarks): void {
    const { target } = this.#options.placement;
    target.health.recordContact(this.#context.clock.nowMs());
    if (marks.load !== undefined) {
      target.recordLoad(marks.load, this.#context.clock.nowMs());
    }
  }

  /** Why an answer is not to be passed on; undefined when it is this request's own and signed. */
  #findWrong(marks: AnswerMarks, status: number): AttemptFailure | undefined {
    const { request, relay } = this.#options;
    if (marks.isDeclined) {
      return { kind: 'rejected', detail: `declined with status ${status}` };
    }
    if (marks.requestId !== undefined && marks.requestId !== request.id) {
      return { kind: 'broken', detail: `the answer belongs to request ${marks.requestId}` };
    }
    if (!marks.isSigned) {
      return { kind: 'broken', detail: `an unsigned answer with status ${status}` };
    }
    if (relay.hasBegun && status !== STATUS_OK) {
      return { kind: 'broken', detail: `not resumed: status ${status}` };
    }
    return undefined;
  }

  /** Notes how the endpoint fared; not called when the caller left or the time was over, which say nothing of it. */
  #judge(result: AttemptResult): void {
    const { target } = this.#options.placement;
    const { health } = target;
    const nowMs = this.#context.clock.nowMs();
    if (result.type === 'streamed') {
      health.recordSuccess(nowMs);
    } else if (result.type === 'held') {
      if (result.answer.status < FIRST_REDIRECT) {
        health.recordSuccess(nowMs);
      } else {
        health.recordError(nowMs);
      }
    } else if (result.failure.kind === 'unsent') {
      noteUnreachable(this.#context, target);
    } else if (result.failure.kind === 'rejected') {
      health.recordRejection(nowMs);
    } else {
      health.recordBreak(nowMs);
    }
  }
}
