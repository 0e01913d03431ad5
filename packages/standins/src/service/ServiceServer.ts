/**
 * The plain service stand-in: counts the calls that it ran, in total and by idempotency key, so that a test
 * can detect a call that ran twice.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import sendJson from '../http/sendJson.js';
import readText from '../http/readText.js';

interface ServiceSettings {
  readonly name: string;
  /** Duration of each call. */
  readonly delayMs: number;
}

export default class ServiceServer {
  readonly #settings: ServiceSettings;

  readonly #bootId = randomUUID().slice(0, 8);

  readonly #runsByKey = new Map<string, number>();

  #runCount = 0;

  #runningCount = 0;

  #isLeaving = false;

  #delayMs: number;

  #dropResponses = false;

  constructor(settings: ServiceSettings) {
    this.#settings = settings;
    this.#delayMs = settings.delayMs;
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = request.url ?? '/';
    if (url === '/load') {
      sendJson(response, 200, this.#createLoadReport());
    } else if (url === '/control' && request.method === 'POST') {
      const change = JSON.parse(await readText(request)) as Readonly<Record<string, unknown>>;
      this.#isLeaving = Boolean(change.leaving ?? this.#isLeaving);
      this.#delayMs = Number(change.delayMs ?? this.#delayMs);
      this.#dropResponses = Boolean(change.loseAnswers ?? this.#dropResponses);
      sendJson(response, 200, {});
    } else if (url === '/control') {
      sendJson(response, 200, {
        runs: this.#runCount,
        runsByKey: Object.fromEntries(this.#runsByKey),
      });
    } else {
      await this.#handleCall(request, response);
    }
  }

  async #handleCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readText(request);
    const key = String(request.headers['idempotency-key'] ?? '');
    this.#runningCount += 1;
    this.#runCount += 1;
    if (key !== '') {
      this.#runsByKey.set(key, (this.#runsByKey.get(key) ?? 0) + 1);
    }
    const run = this.#runCount;
    await new Promise((resolve) => {
      setTimeout(resolve, this.#delayMs);
    });
    this.#runningCount -= 1;
    if (this.#dropResponses) {
      response.destroy();
      return;
    }
    sendJson(response, 200, {
      service: this.#settings.name,
      run,
      method: request.method,
      path: request.url,
      body,
    });
  }

  #createLoadReport(): unknown {
    return {
      endpointId: this.#settings.name,
      bootId: this.#bootId,
      role: 'mixed',
      changing: false,
      leaving: this.#isLeaving,
      slots: 512,
      prefillTokensPerS: 0,
      running: this.#runningCount,
      queuedPromptTokens: [0, 0, 0],
      pendingOutputTokens: 0,
      ageMs: 0,
    };
  }
}
