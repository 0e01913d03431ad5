/**
 * The engine stand-in: serves the engine model over HTTP, with answers as server-sent events.
 *
 * It records every order in the sequence of arrival, so that a test can detect conflicting orders. A prompt
 * that contains the crash marker ends the process, as some requests crash real engines.
 */
import { createHash, randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import sendJson from '../http/sendJson.js';
import readText from '../http/readText.js';
import DEFAULT_ENGINE from './DEFAULT_ENGINE.js';
import EngineModel from './EngineModel.js';
import type EngineModelOptions from './EngineModelOptions.js';
import LoadHistory from './LoadHistory.js';
import createAnswerToken from './createAnswerToken.js';

interface EngineSettings {
  readonly name: string;
  /** Whether orders with an epoch below the highest one received are rejected. */
  readonly fencing: 'checked' | 'ignored';
  /** Age of the load that reports show. */
  readonly loadLagMs: number;
  readonly model: Partial<EngineModelOptions>;
  /** Divides the durations of steps and role changes, so that tests run faster than a real engine. */
  readonly speedup: number;
}

interface GenerateBody {
  readonly attemptId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  readonly resumeFrom: number;
  readonly importKv?: { readonly url: string; readonly handle: string };
}

interface OrderBody {
  readonly orderId: string;
  readonly epoch: number;
  readonly order: {
    readonly type: 'role' | 'model';
    readonly role?: 'prefill' | 'decode' | 'mixed';
  };
}

interface OpenRequest {
  readonly prompt: string;
  readonly response: ServerResponse;
  readonly prefillOnly: boolean;
}

const CHARS_PER_TOKEN = 4;
const KEEP_ALIVE_INTERVAL_MS = 500;
const CRASH_MARKER = 'CRASH-THE-ENGINE';
const CRASH_DELAY_MS = 30;
const LOAD_SNAPSHOT_INTERVAL_MS = 50;

export default class EngineServer {
  readonly #settings: EngineSettings;

  readonly #bootId = randomUUID().slice(0, 8);

  readonly #options: EngineModelOptions;

  readonly #model: EngineModel;

  readonly #openRequests = new Map<string, OpenRequest>();

  readonly #receivedOrders: {
    readonly orderId: string;
    readonly epoch: number;
    readonly order: unknown;
    readonly accepted: boolean;
  }[] = [];

  readonly #statusByOrder = new Map<string, string>();

  readonly #loadHistory: LoadHistory;

  #isStepping = false;

  #isChangingRole = false;

  #isLeaving = false;

  #isSilent = false;

  #highestEpoch = 0;

  #servedCount = 0;

  #cutCount = 0;

  #extraStepDelayMs = 0;

  #orderDelayMs = 0;

  constructor(settings: EngineSettings) {
    this.#settings = settings;
    this.#options = { ...DEFAULT_ENGINE, ...settings.model };
    this.#model = new EngineModel(this.#options);
    this.#loadHistory = new LoadHistory(settings.loadLagMs);
    setInterval(() => this.#sendKeepAlives(), KEEP_ALIVE_INTERVAL_MS);
    setInterval(() => this.#loadHistory.record(this.#model.readLoad()), LOAD_SNAPSHOT_INTERVAL_MS);
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = request.url ?? '/';
    if (url === '/v1/generate' || url === '/v1/prefill') {
      await this.#generate(request, response, url === '/v1/prefill');
    } else if (url === '/v1/load') {
      sendJson(response, 200, this.#createLoadReport());
    } else if (url === '/v1/orders' && request.method === 'POST') {
      const order = JSON.parse(await readText(request)) as OrderBody;
      await new Promise((resolve) => {
        setTimeout(resolve, this.#orderDelayMs);
      });
      this.#acceptOrder(order, response);
    } else if (url.startsWith('/v1/orders/')) {
      const status = this.#statusByOrder.get(url.slice('/v1/orders/'.length));
      sendJson(response, status === undefined ? 404 : 200, { status: status ?? 'unknown' });
    } else if (url.endsWith('/cancel')) {
      this.#cancel(url.split('/')[3]);
      sendJson(response, 200, {});
    } else if (url === '/v1/cache-events') {
      sendJson(response, 200, this.#model.cache.takeEvents());
    } else if (url === '/control' && request.method === 'POST') {
      this.#applyControl(JSON.parse(await readText(request)) as Readonly<Record<string, unknown>>);
      sendJson(response, 200, {});
    } else {
      sendJson(response, 200, {
        orders: this.#receivedOrders,
        served: this.#servedCount,
        cut: this.#cutCount,
        open: this.#openRequests.size,
      });
    }
  }

  async #generate(
    request: IncomingMessage,
    response: ServerResponse,
    prefillOnly: boolean,
  ): Promise<void> {
    const body = JSON.parse(await readText(request)) as GenerateBody;
    if (this.#isChangingRole) {
      sendJson(response, 503, { error: 'the engine is changing its role' });
      return;
    }
    if (body.prompt.includes(CRASH_MARKER)) {
      setTimeout(() => process.exit(1), CRASH_DELAY_MS);
    }
    if (!prefillOnly) {
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      response.write(': accepted\n\n');
    }
    this.#openRequests.set(body.attemptId, { prompt: body.prompt, response, prefillOnly });
    response.once('close', () => this.#cancel(body.attemptId));
    // An imported KV cache replaces the prefill of the prompt.
    const promptTokens =
      body.importKv === undefined ? Math.ceil(body.prompt.length / CHARS_PER_TOKEN) : 0;
    this.#model.submit({
      id: body.attemptId,
      promptTokens,
      outputTokens: body.maxTokens,
      resumeFrom: body.resumeFrom,
      priority: body.priority,
      prefixKeys: this.#computePrefixKeys(body.prompt),
      prefillOnly,
    });
    this.#startStepping();
  }

  #startStepping(): void {
    if (!this.#isStepping) {
      this.#isStepping = true;
      void this.#runSteps();
    }
  }

  async #runSteps(): Promise<void> {
    let result = this.#model.step();
    while (result !== undefined) {
      const waitMs = (result.durationMs + this.#extraStepDelayMs) / this.#settings.speedup;
      await new Promise((resolve) => {
        setTimeout(resolve, waitMs);
      });
      this.#deliverTokens(result.tokens, new Set(result.finishedIds));
      result = this.#model.step();
    }
    this.#isStepping = false;
  }

  #deliverTokens(
    tokens: readonly { readonly id: string; readonly index: number }[],
    finished: ReadonlySet<string>,
  ): void {
    for (const { id, index } of tokens) {
      const openRequest = this.#openRequests.get(id);
      if (openRequest !== undefined && !this.#isSilent) {
        const text = createAnswerToken(openRequest.prompt, index);
        openRequest.response.write(`data: ${JSON.stringify({ id, index, text })}\n\n`);
        if (finished.has(id)) {
          this.#finish(id, openRequest, index + 1);
        }
      }
    }
    for (const id of finished) {
      const openRequest = this.#openRequests.get(id);
      if (openRequest?.prefillOnly === true) {
        this.#openRequests.delete(id);
        sendJson(openRequest.response, 200, { handle: id });
      }
    }
  }

  #finish(id: string, openRequest: OpenRequest, tokens: number): void {
    this.#openRequests.delete(id);
    this.#servedCount += 1;
    openRequest.response.end(`data: ${JSON.stringify({ id, done: tokens })}\n\n`);
  }

  #cancel(id: string): void {
    this.#openRequests.delete(id);
    this.#model.cancel(id);
  }

  #acceptOrder(body: OrderBody, response: ServerResponse): void {
    const { orderId, epoch, order } = body;
    const isStale = this.#settings.fencing === 'checked' && epoch < this.#highestEpoch;
    this.#receivedOrders.push({ orderId, epoch, order, accepted: !isStale });
    if (isStale) {
      sendJson(response, 409, { error: `epoch ${epoch} is below ${this.#highestEpoch}` });
      return;
    }
    this.#highestEpoch = Math.max(this.#highestEpoch, epoch);
    if (!this.#statusByOrder.has(orderId)) {
      this.#statusByOrder.set(orderId, 'running');
      this.#changeRole(orderId, order);
    }
    sendJson(response, 202, { status: this.#statusByOrder.get(orderId) });
  }

  /** Cuts the connections of all unfinished requests and refuses requests until the role has changed. */
  #changeRole(orderId: string, order: OrderBody['order']): void {
    this.#isChangingRole = true;
    for (const id of this.#model.clear()) {
      this.#openRequests.get(id)?.response.destroy();
      this.#openRequests.delete(id);
      this.#cutCount += 1;
    }
    setTimeout(() => {
      this.#model.role = order.role ?? this.#model.role;
      this.#isChangingRole = false;
      this.#statusByOrder.set(orderId, 'done');
    }, this.#options.roleChangeMs / this.#settings.speedup);
  }

  #applyControl(change: Readonly<Record<string, unknown>>): void {
    this.#isLeaving = Boolean(change.leaving ?? this.#isLeaving);
    this.#isSilent = Boolean(change.silent ?? this.#isSilent);
    this.#orderDelayMs = Number(change.delayOrdersMs ?? this.#orderDelayMs);
    this.#extraStepDelayMs = Number(change.extraDelayMs ?? this.#extraStepDelayMs);
    if (change.cutStreams === true) {
      this.#openRequests.forEach((openRequest) => openRequest.response.destroy());
    }
  }

  #createLoadReport(): unknown {
    const lagMs = this.#settings.loadLagMs;
    return {
      endpointId: this.#settings.name,
      bootId: this.#bootId,
      role: this.#model.role,
      changing: this.#isChangingRole,
      leaving: this.#isLeaving,
      ageMs: lagMs,
      ...this.#model.readCapacity(),
      ...this.#loadHistory.read(),
    };
  }

  #sendKeepAlives(): void {
    if (!this.#isSilent) {
      this.#openRequests.forEach(
        (openRequest) => openRequest.prefillOnly || openRequest.response.write(': keep-alive\n\n'),
      );
    }
  }

  /** Hashes the prompt up to the end of each whole block, so that equal prefixes have equal keys. */
  #computePrefixKeys(prompt: string): readonly string[] {
    const blockChars = this.#options.pieceTokens * CHARS_PER_TOKEN;
    const keys: string[] = [];
    for (let end = blockChars; end <= prompt.length; end += blockChars) {
      keys.push(createHash('sha1').update(prompt.slice(0, end)).digest('hex'));
    }
    return keys;
  }
}
