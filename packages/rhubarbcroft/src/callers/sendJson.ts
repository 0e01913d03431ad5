/** Sends a JSON body with a status, unless a response was already started or its connection is closed. */
import type { ServerResponse } from 'node:http';

export default function sendJson(response: ServerResponse, status: number, body: unknown): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  const text = `${JSON.stringify(body)}\n`;
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
