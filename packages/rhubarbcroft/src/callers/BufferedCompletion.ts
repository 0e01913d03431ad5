/** Buffers an answer until it is complete and sends it as one JSON body. */
import type { ServerResponse } from 'node:http';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type CompletionMetadata from './CompletionMetadata.js';
import CompletionSink from './CompletionSink.js';
import sendFailure from './sendFailure.js';
import sendJson from './sendJson.js';

export default class BufferedCompletion extends CompletionSink {
  readonly #metadata: CompletionMetadata;

  #text = '';

  constructor(response: ServerResponse, metadata: CompletionMetadata) {
    super(response);
    this.#metadata = metadata;
  }

  override async write(texts: readonly string[]): Promise<void> {
    this.#text += texts.join('');
  }

  override finish(tokens: number, promptTokens: number): void {
    const { id, model, createdAtS, chat } = this.#metadata;
    const content = chat
      ? { message: { role: 'assistant', content: this.#text } }
      : { text: this.#text };
    sendJson(this.response, 200, {
      id,
      object: chat ? 'chat.completion' : 'text_completion',
      created: createdAtS,
      model,
      choices: [{ index: 0, ...content, finish_reason: 'stop' }],
      usage: {
        prompt_tokens: promptTokens,
        completion_tokens: tokens,
        total_tokens: promptTokens + tokens,
      },
    });
  }

  override fail(failure: Failure): void {
    sendFailure(this.response, failure);
  }
}
