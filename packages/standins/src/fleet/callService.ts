/** Sends a call to a plain service as a caller does, and reads the whole response. */
import { request } from 'undici';
import type Answer from './Answer.js';

interface ServiceCall {
  readonly url: string;
  /** The service's name and the path within it, without a leading slash. */
  readonly path: string;
  readonly method?: string;
  readonly body?: string;
  readonly idempotencyKey?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

export default async function callService(call: ServiceCall): Promise<Answer> {
  const startedAtMs = performance.now();
  const response = await request(`${call.url}/services/${call.path}`, {
    method: call.method ?? 'GET',
    headers: {
      ...call.headers,
      ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey }),
    },
    body: call.body ?? null,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const text = await response.body.text();
  const durationMs = performance.now() - startedAtMs;
  const error =
    response.statusCode === 200
      ? undefined
      : (JSON.parse(text) as { readonly error: Answer['error'] }).error;
  return {
    status: response.statusCode,
    headers: response.headers,
    text,
    error,
    isComplete: error === undefined,
    firstTokenMs: durationMs,
    durationMs,
  };
}
