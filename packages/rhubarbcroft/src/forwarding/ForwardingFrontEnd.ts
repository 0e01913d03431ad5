/**
 * Serves callers' requests: reads the request completely, matches it to a route of the current routing
 * document, forwards it within the caller's deadline, and sends the answer or the failure.
 */
import type { IncomingMessage } from 'node:http';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import RESULT_CODES from '@rhubarbcroft/protocol/results/RESULT_CODES';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import formatErrorBody from '@rhubarbcroft/protocol/results/formatErrorBody';
import type HttpExchange from '../callers/HttpExchange.js';
import HttpExchangeServer from '../callers/HttpExchangeServer.js';
import type StopAdmission from '../decisions/shutdown/StopAdmission.js';
import UsualDurations from '../decisions/shutdown/UsualDurations.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';
import type Forwarder from './Forwarder.js';
import type MatchedRequest from './MatchedRequest.js';
import type OpenRequests from './OpenRequests.js';
import type BufferedAnswer from './BufferedAnswer.js';
import StreamRelay from './StreamRelay.js';
import chooseService from './chooseService.js';
import copyAnswerHeaders from './copyAnswerHeaders.js';

interface ForwardingFrontEndOptions {
  readonly context: ForwardContext;
  readonly forwarder: Forwarder;
  readonly random: RandomGenerator;
  readonly stopAdmission: StopAdmission;
  readonly openRequests: OpenRequests;
  /** Aborts when the node starts to shut down: responses then close their connections. */
  readonly shutdown: AbortSignal;
}

/** Time limit for reading a body; callers send it together with the head. */
const BODY_TIMEOUT_MS = 10_000;
/** Limit on bodies until the first routing document: what users require. */
const STARTING_MAX_BODY_BYTES = 4_194_304;
/** Retry-After of a node that has not received its first routing document. */
const STARTING_RETRY_AFTER_MS = 500;
/** Retry-After of a node that is being stopped: callers retry on a new connection, which reaches another node. */
const STOPPING_RETRY_AFTER_MS = 50;
const MS_PER_S = 1_000;
/**
 * Statuses that callers read as a guarantee that the request has not run. An endpoint's answer with one of them
 * guarantees nothing unless it is marked as declined.
 */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

export default class ForwardingFrontEnd extends HttpExchangeServer {
  readonly #options: ForwardingFrontEndOptions;

  readonly #durations = new UsualDurations();

  constructor(options: ForwardingFrontEndOptions) {
    super();
    this.#options = options;
  }

  override async serve(exchange: HttpExchange): Promise<void> {
    const { clock, log } = this.#options.context;
    const arrivedAtMs = clock.nowMs();
    const { response } = exchange;
    try {
      const request = await this.#read(exchange, arrivedAtMs);
      if (request.isErr) {
        this.#refuse(exchange, request.error, arrivedAtMs);
        return;
      }
      await this.#forward(exchange, request.value);
    } catch (error) {
      log.error(
        { requestId: exchange.requestId, err: error },
        'request failed with an internal error',
      );
      const failure = createFailure(
        'INTERNAL',
        `unexpected error in request ${exchange.requestId}`,
        'unknown',
      );
      this.#refuse(exchange, failure, arrivedAtMs);
    }
    if (!response.writableEnded && !response.destroyed) {
      exchange.cut('the answer was not finished');
    }
  }

  async #forward(exchange: HttpExchange, request: ForwardRequest): Promise<void> {
    const { context, forwarder } = this.#options;
    const { response, signal } = exchange;
    const relay = new StreamRelay(response, exchange.holding);
    const controller = new AbortController();
    const close = this.#options.openRequests.add({
      id: request.id,
      arrivedAtMs: request.arrivedAtMs,
      describe: () => relay.dumpState(),
      end: (reason) => {
        if (!relay.hasBegun) {
          controller.abort(new Error(reason));
        }
      },
    });
    const cancel = (): void => controller.abort(new Error('the caller disconnected'));
    const timer = setTimeout(
      () => controller.abort(new Error('the deadline of the request has passed')),
      request.expiresAtMs - context.clock.nowMs(),
    );
    signal.addEventListener('abort', cancel, { once: true });
    this.#closeAfterResponse(exchange);
    exchange.markForwarded();
    const served = await forwarder.forward(request, relay, controller.signal).finally(() => {
      close();
      clearTimeout(timer);
      signal.removeEventListener('abort', cancel);
    });
    if (signal.aborted) {
      this.#countRequest(request, 'left');
      context.log.info({ requestId: request.id }, 'request cancelled: the caller disconnected');
      return;
    }
    this.#countRequest(request, served.isErr ? 'failed' : 'answered');
    if (served.isOk) {
      this.#durations.record(request.route.name, context.clock.nowMs() - request.arrivedAtMs);
    }
    if (served.isErr) {
      this.#refuse(exchange, served.error, request.arrivedAtMs, relay);
    } else if (served.value.answer === undefined) {
      relay.end();
    } else {
      this.#send(exchange, request, served.value.answer);
    }
  }

  async #read(
    { request, body: incoming }: HttpExchange,
    arrivedAtMs: number,
  ): Promise<Result<ForwardRequest, Failure>> {
    const { context } = this.#options;
    const { routing } = context;
    const maxBodyBytes = routing.current?.document.limits.maxBodyBytes ?? STARTING_MAX_BODY_BYTES;
    const body = await incoming.read({ maxBodyBytes, bodyTimeoutMs: BODY_TIMEOUT_MS });
    if (body.isErr) {
      return err(body.error);
    }
    const table = routing.current;
    if (table === undefined) {
      return err(
        createFailure(
          'CONFIGURATION_ABSENT',
          'the node has just started and has no routing document yet',
          'not_run',
          STARTING_RETRY_AFTER_MS,
        ),
      );
    }
    const headerBytes = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
    if (headerBytes > table.document.limits.maxHeaderBytes) {
      return err(
        createFailure(
          'HEADER_TOO_LARGE',
          `${headerBytes} bytes of headers; at most ${table.document.limits.maxHeaderBytes} are allowed`,
        ),
      );
    }
    const path = request.url ?? '/';
    const route = table.findRoute(request.headers.host ?? '', path.split('?', 1)[0]);
    if (route === undefined) {
      return err(
        createFailure(
          'NOT_FOUND',
          `routing document version ${table.document.version} has no route for this host and path`,
        ),
      );
    }
    const metadata = context.protocol.parseRequestHeaders(request.headers);
    return table
      .findAccount(route, metadata.apiKey)
      .andThen((account) =>
        this.#createRequest(request, { table, route, account, metadata }, body.value, arrivedAtMs),
      )
      .andThen((created) => this.#admit(created));
  }

  /** Refuses a request that can't end before the process exits, and bounds its time by the end of a planned stop. */
  #admit(request: ForwardRequest): Result<ForwardRequest, Failure> {
    const { stopAdmission, context } = this.#options;
    const { expiresAtMs, route } = request;
    const usualMs = this.#durations.findLongestMs(route.name);
    if (!stopAdmission.admits({ expiresAtMs, usualMs }, context.clock.nowMs())) {
      const detail = 'the node is being stopped before the request would surely have ended';
      return err(createFailure('SHUTTING_DOWN', detail, 'not_run', STOPPING_RETRY_AFTER_MS));
    }
    return ok({ ...request, expiresAtMs: Math.min(expiresAtMs, stopAdmission.endsAtMs) });
  }

  #createRequest(
    request: IncomingMessage,
    { table, route, account, metadata }: MatchedRequest,
    body: Buffer,
    arrivedAtMs: number,
  ): Result<ForwardRequest, Failure> {
    const { protocol } = this.#options.context;
    if (metadata.requestId === undefined) {
      return err(createFailure('MALFORMED_BODY', 'the request has no valid request id'));
    }
    const waitMs = Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs);
    const hasBody = body.length > 0 || request.headers['content-length'] !== undefined;
    return ok({
      id: metadata.requestId,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      rawHeaders: table.hasAccounts
        ? protocol.removeAccountHeaders(request.rawHeaders)
        : request.rawHeaders,
      body: hasBody ? body : undefined,
      route,
      account: account?.name,
      rank: account?.rank ?? route.rank,
      service: chooseService(route, this.#options.random),
      prompt:
        route.hasPrompts && metadata.prompt !== undefined
          ? { ...metadata.prompt, bodyBytes: body.length }
          : undefined,
      lastEventId: metadata.lastEventId,
      arrivedAtMs,
      expiresAtMs: arrivedAtMs + waitMs,
      isRepeatable: route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable),
    });
  }

  #countRequest(
    { route, rank, arrivedAtMs }: ForwardRequest,
    outcome: 'answered' | 'failed' | 'left',
  ): void {
    const { metrics, clock } = this.#options.context;
    const tags = { kind: route.kind, rank: String(rank), outcome };
    metrics.increment('requests', tags);
    metrics.timing('request', clock.nowMs() - arrivedAtMs, tags);
  }

  #closeAfterResponse(exchange: HttpExchange): void {
    if (this.#options.shutdown.aborted) {
      exchange.announceClose();
    }
  }

  #send(exchange: HttpExchange, request: ForwardRequest, answer: BufferedAnswer): void {
    const { response } = exchange;
    if (!request.isRepeatable && NOT_RUN_STATUSES.has(answer.status)) {
      const detail = `the endpoint answered with status ${answer.status} but did not declare the request as not run`;
      const failure = createFailure('ENDPOINT_FAILED', detail, 'unknown');
      this.#refuse(exchange, failure, request.arrivedAtMs);
      return;
    }
    this.#closeAfterResponse(exchange);
    response.writeHead(answer.status, [
      ...copyAnswerHeaders(answer.rawHeaders),
      'content-length',
      String(answer.body.length),
    ]);
    response.end(answer.body);
  }

  #refuse(
    exchange: HttpExchange,
    failure: Failure,
    arrivedAtMs: number,
    relay?: StreamRelay,
  ): void {
    const { log, clock, metrics } = this.#options.context;
    const { request, response, requestId, cut } = exchange;
    const { code, detail, ran, retryAfterMs } = failure;
    const waitedMs = Math.round(clock.nowMs() - arrivedAtMs);
    metrics.increment('refused', { code, ran });
    // Callers without a key may be many and are counted only, so that they can't fill the log.
    const level = code === 'UNAUTHENTICATED' ? 'debug' : 'info';
    log[level]({ requestId, code, detail, ran, retryAfterMs, waitedMs }, 'request refused');
    if (relay?.hasBegun === true || response.headersSent) {
      cut(code);
      return;
    }
    this.#closeAfterResponse(exchange);
    if (!request.complete) {
      response.setHeader('connection', 'close');
    }
    if (retryAfterMs !== undefined) {
      response.setHeader('retry-after', (retryAfterMs / MS_PER_S).toFixed(2));
    }
    const body = JSON.stringify(formatErrorBody(failure));
    response.writeHead(RESULT_CODES[code].httpStatus, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  }
}
