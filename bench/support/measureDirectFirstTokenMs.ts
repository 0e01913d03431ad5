/** Sends a prompt directly to an engine stand-in, without the daemon; returns the time to first token in ms. */
import { randomUUID } from 'node:crypto';
import { request } from 'undici';

export default async function measureDirectFirstTokenMs(
  url: string,
  prompt: string,
  maxTokens: number,
): Promise<number> {
  const startedAtMs = performance.now();
  const response = await request(`${url}/v1/generate`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      attemptId: randomUUID(),
      model: 'appraiser',
      prompt,
      maxTokens,
      priority: 1,
      resumeFrom: 0,
    }),
  });
  let firstTokenMs = Infinity;
  for await (const bytes of response.body) {
    if (firstTokenMs === Infinity && String(bytes).includes('"index"')) {
      firstTokenMs = performance.now() - startedAtMs;
    }
  }
  return firstTokenMs;
}
