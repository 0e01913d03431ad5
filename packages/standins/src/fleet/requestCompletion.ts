/** Sends a completion request as a caller does and reads the answer to its end, streamed or not. */
import { createParser } from 'eventsource-parser';
import { request } from 'undici';
import type Answer from './Answer.js';

interface CompletionRequest {
  readonly url: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Whether the answer is requested as a stream; the default is true. */
  readonly stream?: boolean;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
  /** Called for each token of a stream as it arrives, with the number of tokens received so far. */
  readonly onToken?: (text: string, count: number) => void;
}

interface CompletionBody {
  readonly choices?: readonly { readonly text?: string }[];
  readonly error?: Answer['error'];
}

type StreamedAnswer = Omit<Answer, 'status' | 'headers'>;

async function readStream(
  body: AsyncIterable<Buffer>,
  completion: CompletionRequest,
  startedAtMs: number,
): Promise<StreamedAnswer> {
  let text = '';
  let count = 0;
  let receivedDone = false;
  let error: Answer['error'];
  let firstTokenMs = Infinity;
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') {
        receivedDone = true;
        return;
      }
      const event = JSON.parse(data) as CompletionBody;
      error = event.error ?? error;
      const token = event.choices?.[0].text ?? '';
      if (token !== '') {
        firstTokenMs = Math.min(firstTokenMs, performance.now() - startedAtMs);
        text += token;
        count += 1;
        completion.onToken?.(token, count);
      }
    },
  });
  const decoder = new TextDecoder();
  try {
    for await (const bytes of body) {
      parser.feed(decoder.decode(bytes, { stream: true }));
    }
  } catch {
    // The connection broke before the end of the stream.
    receivedDone = false;
  }
  return {
    text,
    error,
    isComplete: receivedDone,
    firstTokenMs,
    durationMs: performance.now() - startedAtMs,
  };
}

export default async function requestCompletion(completion: CompletionRequest): Promise<Answer> {
  const startedAtMs = performance.now();
  const stream = completion.stream ?? true;
  const response = await request(`${completion.url}/v1/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...completion.headers },
    body: JSON.stringify({
      model: completion.model,
      prompt: completion.prompt,
      max_tokens: completion.maxTokens,
      stream,
    }),
    signal: completion.signal,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const head = { status: response.statusCode, headers: response.headers };
  if (!stream || response.statusCode !== 200) {
    const body = (await response.body.json()) as CompletionBody;
    const durationMs = performance.now() - startedAtMs;
    const text = body.choices?.[0].text ?? '';
    return {
      ...head,
      text,
      error: body.error,
      isComplete: body.error === undefined,
      firstTokenMs: durationMs,
      durationMs,
    };
  }
  return { ...head, ...(await readStream(response.body, completion, startedAtMs)) };
}
