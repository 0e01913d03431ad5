/**
 * Prefills a prompt on one engine, so that another can continue from its KV cache. The call can safely be
 * repeated, since it generates nothing for the caller; when it fails, the target prefills the prompt itself.
 * A handle that is not used is released, since its KV cache cannot serve other requests until then.
 */
import { randomUUID } from 'node:crypto';
import { err } from 'true-myth/result';
import type Result from 'true-myth/result';
import type AttemptFailure from '../endpoints/AttemptFailure.js';
import type EndpointConnection from '../instances/EndpointConnection.js';
import type InstanceState from '../instances/InstanceState.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';
import type KvSource from './KvSource.js';
import type Placement from './Placement.js';
import ProgressWatchdog from './ProgressWatchdog.js';
import assessRefusal from './assessRefusal.js';
import recordAnswerHead from './recordAnswerHead.js';
import recordDispatch from './recordDispatch.js';
import recordUnreachable from './recordUnreachable.js';
import recordPace from './recordPace.js';
import readWholeBody from './readWholeBody.js';

/** A prefill times out after this factor of its expected time plus a fixed margin; the target then prefills itself. */
const TIMEOUT_FACTOR = 3;
const TIMEOUT_MARGIN_MS = 1_500;
/** Allowance for the round trip to another region. */
const ROUND_TRIP_MARGIN_MS = 60;
/** Time limit for releasing a handle; the engine expires it after a few seconds anyway. */
const RELEASE_TIMEOUT_MS = 1_000;
const STATUS_OK = 200;
/** The time in which the target fetches the KV cache of a prefill. */
const HANDLE_TAKEN_MS = 200;
/** The shortest prefill, on a usual engine, whose duration says something about the engine. */
const MIN_SAMPLE_MS = 40;

export default class PrefillCall {
  readonly #context: ForwardContext;

  readonly #request: ForwardRequest;

  readonly #placement: Placement;

  #source: KvSource | undefined;

  #needsRetry = false;

  #hasSpentRetry = false;

  constructor(context: ForwardContext, request: ForwardRequest, placement: Placement) {
    this.#context = context;
    this.#request = request;
    this.#placement = placement;
  }

  /**
   * Whether a dispatch to the target still has to draw on the retry budget, because the engine may have counted the
   * call as rejected. A call that was given up has drawn on it before.
   */
  get needsRetry(): boolean {
    return this.#needsRetry;
  }

  /** Runs the prefill. Returns the KV cache to continue from; undefined when the target has to prefill itself. */
  async run(signal: AbortSignal): Promise<KvSource | undefined> {
    const { prefill, prefillMs, expectedMs, pace = 1 } = this.#placement;
    const { prompt, id } = this.#request;
    if (prefill === undefined || prompt === undefined) {
      return undefined;
    }
    const { clock, log, speeds } = this.#context;
    const attemptId = randomUUID();
    const startedAtMs = clock.nowMs();
    const wasIdle = prefill.prefillQueue.length === 0;
    prefill.beginAttempt(startedAtMs);
    recordDispatch(this.#context, this.#request, prefill, {
      attemptId,
      prefillMs,
      generates: false,
      expectedMs: Math.max(0, expectedMs) + ROUND_TRIP_MARGIN_MS,
    });
    const watchdog = new ProgressWatchdog({
      request: signal,
      lost: prefill.unreachableSignal,
      handOver: async () => this.#spendRetry(),
    });
    watchdog.expect(expectedMs * TIMEOUT_FACTOR + TIMEOUT_MARGIN_MS);
    const handle = await this.#call(prefill, watchdog.signal);
    watchdog.close();
    const nowMs = clock.nowMs();
    prefill.endAttempt();
    if (handle.isErr) {
      prefill.discardPrefill(attemptId);
      this.#recordFailure(prefill, handle.error, signal);
      const { kind, detail } = handle.error;
      this.#needsRetry = kind !== 'unsent' && !this.#hasSpentRetry;
      log.info({ requestId: id, instance: prefill.instance.id, kind, detail }, 'prefill failed');
      return undefined;
    }
    prefill.completePrefill(attemptId, nowMs);
    prefill.memory.keep(attemptId, nowMs + HANDLE_TAKEN_MS);
    prefill.health.recordSuccess(nowMs);
    log.info(
      {
        requestId: id,
        instance: prefill.instance.id,
        prefillMs: Math.round(prefillMs),
        tookMs: Math.round(nowMs - startedAtMs),
        wasIdle,
        promptTokens: prompt.promptTokens,
      },
      'prefill done',
    );
    if (wasIdle) {
      speeds.record(prefillMs, nowMs - startedAtMs);
      if (prefillMs > MIN_SAMPLE_MS * pace) {
        const usualMs = speeds.latencyMs + prefillMs / pace;
        recordPace(this.#context, prefill, 'prefill', (nowMs - startedAtMs) / usualMs);
      }
    }
    this.#source = { address: prefill.instance.address, handle: handle.value };
    return this.#source;
  }

  /** Releases the handle, if there is one, of a KV cache that was certainly not or possibly not used. */
  release(): void {
    if (this.#source !== undefined) {
      void this.#release(this.#source);
      this.#source = undefined;
    }
  }

  async #call(
    prefill: InstanceState,
    signal: AbortSignal,
  ): Promise<Result<string, AttemptFailure>> {
    let connection = prefill.pool.acquire(true);
    let handle = await this.#exchange(connection, prefill, signal);
    if (connection.wasClosedUnused) {
      connection = prefill.pool.acquire(false);
      handle = await this.#exchange(connection, prefill, signal);
    }
    if (handle.isErr) {
      connection.close();
    } else {
      prefill.pool.release(connection);
    }
    return handle;
  }

  async #exchange(
    connection: EndpointConnection,
    prefill: InstanceState,
    signal: AbortSignal,
  ): Promise<Result<string, AttemptFailure>> {
    const { protocol, clock } = this.#context;
    const { rawHeaders, method, path, body, id, expiresAtMs, account, rank } = this.#request;
    const headers = protocol.buildRequestHeaders(rawHeaders, {
      requestId: id,
      account,
      instanceId: prefill.instance.id,
      deadlineMs: Math.max(1, Math.floor(expiresAtMs - clock.nowMs())),
      lastEventId: undefined,
      priority: rank,
      prefillOnly: true,
      copyFromAddress: this.#placement.copyFrom?.instance.address,
      kvSource: undefined,
    });
    const sent = await connection.send({ method, path, headers, body }, signal);
    if (sent.isErr) {
      return err(sent.error);
    }
    const { status, rawHeaders: answerHeaders, body: answerBody, isFirst } = sent.value;
    const metadata = protocol.parseAnswerHead(status, answerHeaders);
    recordAnswerHead(this.#context, prefill, metadata);
    const refusal = assessRefusal(metadata, id, isFirst);
    if (refusal === 'not_run') {
      return err({
        kind: 'rejected',
        detail: `the endpoint declined the prefill with status ${status}`,
      });
    }
    const isForeign = metadata.requestId !== undefined && metadata.requestId !== id;
    if (status !== STATUS_OK || isForeign || refusal !== undefined) {
      return err({
        kind: 'broken',
        detail: `the endpoint answered the prefill with status ${status} for request ${metadata.requestId}`,
      });
    }
    try {
      return protocol.parsePrefillHandle(await readWholeBody(answerBody));
    } catch (error) {
      return err({ kind: 'broken', detail: (error as Error).message });
    }
  }

  async #release(source: KvSource): Promise<void> {
    const { protocol, log } = this.#context;
    const { prefill } = this.#placement;
    if (prefill === undefined) {
      return;
    }
    const connection = prefill.pool.acquire(true);
    const sent = await connection.send(
      {
        method: 'DELETE',
        path: protocol.buildReleasePath(source.handle),
        headers: [],
        body: undefined,
      },
      AbortSignal.timeout(RELEASE_TIMEOUT_MS),
    );
    if (sent.isErr) {
      const { detail } = sent.error;
      log.info(
        { requestId: this.#request.id, ...source, detail },
        'KV cache handle not released; the engine expires it',
      );
    } else {
      const { status, rawHeaders } = sent.value;
      recordAnswerHead(this.#context, prefill, protocol.parseAnswerHead(status, rawHeaders));
    }
    connection.close();
  }

  /** The target can prefill the prompt itself, as far as the retry budget allows it to be used after a rejection. */
  #spendRetry(): boolean {
    const { retryBudget, clock } = this.#context;
    this.#hasSpentRetry = retryBudget.spend(this.#request.service, clock.nowMs());
    return this.#hasSpentRetry;
  }

  #recordFailure(prefill: InstanceState, failure: AttemptFailure, signal: AbortSignal): void {
    if (signal.aborted) {
      return;
    }
    const nowMs = this.#context.clock.nowMs();
    if (failure.kind === 'unsent') {
      recordUnreachable(this.#context, prefill);
    } else if (failure.kind === 'rejected') {
      prefill.health.recordRejection(nowMs);
    } else {
      prefill.health.recordIncompleteAnswer(nowMs);
    }
  }
}
