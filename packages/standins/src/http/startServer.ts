/** Starts an HTTP server on loopback and prints its port as a JSON line, `{"listening":PORT}`. */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

type Listener = (request: IncomingMessage, response: ServerResponse) => void;

export default function startServer(port: number, listener: Listener): void {
  const server = createServer({ keepAliveTimeout: 60_000, requestTimeout: 0 }, listener);
  server.listen(port, '127.0.0.1', () => {
    process.stdout.write(
      `${JSON.stringify({ listening: (server.address() as AddressInfo).port })}\n`,
    );
  });
}
