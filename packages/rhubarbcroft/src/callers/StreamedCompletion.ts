/** Streams an answer as server-sent events. Writing waits while the caller does not read. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import formatErrorBody from '@rhubarbcroft/protocol/results/formatErrorBody';
import type CompletionMetadata from './CompletionMetadata.js';
import CompletionSink from './CompletionSink.js';
import sendFailure from './sendFailure.js';

export default class StreamedCompletion extends CompletionSink {
  readonly #signal: AbortSignal;

  readonly #readTimeoutMs: number;

  /** The start of each event, up to the fields of its choice. */
  readonly #eventPrefix: string;

  readonly #chat: boolean;

  constructor(
    response: ServerResponse,
    metadata: CompletionMetadata,
    signal: AbortSignal,
    readTimeoutMs: number,
  ) {
    super(response);
    this.#signal = signal;
    this.#readTimeoutMs = readTimeoutMs;
    this.#chat = metadata.chat;
    const object = metadata.chat ? 'chat.completion.chunk' : 'text_completion';
    const sharedFields = JSON.stringify({
      id: metadata.id,
      object,
      created: metadata.createdAtS,
      model: metadata.model,
    });
    this.#eventPrefix = `data: ${sharedFields.slice(0, -1)},"choices":[{"index":0,`;
  }

  override async write(texts: readonly string[]): Promise<void> {
    this.#writeHead();
    const hasCapacity = this.response.write(texts.map((text) => this.#formatToken(text)).join(''));
    if (!hasCapacity && !this.#signal.aborted) {
      await this.#waitForDrain();
    }
  }

  override finish(tokens: number, promptTokens: number): void {
    this.#writeHead();
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: tokens,
      total_tokens: promptTokens + tokens,
    };
    const end = `${this.#eventPrefix}${this.#chat ? '"delta":{}' : '"text":""'},"finish_reason":"stop"}],"usage":${JSON.stringify(usage)}}`;
    this.response.end(`${end}\n\ndata: [DONE]\n\n`);
  }

  override fail(failure: Failure): void {
    if (this.response.headersSent) {
      this.response.end(`event: error\ndata: ${JSON.stringify(formatErrorBody(failure))}\n\n`);
    } else {
      sendFailure(this.response, failure);
    }
  }

  /** Waits until the write buffer has drained; destroys the connection if that takes longer than the read time-out. */
  async #waitForDrain(): Promise<void> {
    const timeout = AbortSignal.timeout(this.#readTimeoutMs);
    const signal = AbortSignal.any([this.#signal, timeout]);
    await once(this.response, 'drain', { signal }).catch(() => undefined);
    if (timeout.aborted) {
      this.response.destroy();
    }
  }

  #writeHead(): void {
    if (!this.response.headersSent) {
      this.response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-store',
      });
    }
  }

  #formatToken(text: string): string {
    const content = JSON.stringify(text);
    const choice = this.#chat ? `"delta":{"content":${content}}` : `"text":${content}`;
    return `${this.#eventPrefix}${choice},"finish_reason":null}]}\n\n`;
  }
}
