/** Reads the whole body of a request as text. */
import type { IncomingMessage } from 'node:http';

export default async function readText(
  request: IncomingMessage,
  encoding: BufferEncoding = 'utf8',
): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString(encoding);
}
