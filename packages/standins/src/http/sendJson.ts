/** Sends a response with a status and a JSON body. */
import type { ServerResponse } from 'node:http';

export default function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
