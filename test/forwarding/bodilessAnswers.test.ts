/**
 * Guards against taking an answer that never has a body (204, 304, or any answer to HEAD) for one that was broken off
 * because it has neither a length nor chunks.
 */
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import EndpointConnection from 'rhubarbcroft/instances/EndpointConnection';

async function exchange(method: string, answer: string): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(answer));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const connection = new EndpointConnection(`127.0.0.1:${port}`, 500);
  const call = { method, path: '/', headers: [], body: undefined };
  const sent = await connection.send(call, AbortSignal.timeout(2_000));
  const { status, body } = sent.unwrapOrElse(() => expect.fail('no answer'));
  let bytes = 0;
  try {
    for await (const chunk of body) {
      bytes += chunk.length;
    }
    return `${status}, ${bytes} bytes`;
  } catch (error) {
    return `${status}, ${(error as Error).message}`;
  } finally {
    connection.close();
    server.close();
  }
}

describe('an answer that never has a body', () => {
  it('is complete after its head on an open connection', async () => {
    expect([
      await exchange('GET', 'HTTP/1.1 204 No Content\r\n\r\n'),
      await exchange('GET', 'HTTP/1.1 304 Not Modified\r\n\r\n'),
      await exchange('HEAD', 'HTTP/1.1 200 OK\r\n\r\n'),
    ]).to.deep.equal(['204, 0 bytes', '304, 0 bytes', '200, 0 bytes']);
  });
});
