/**
 * Guards against taking an endpoint for unreachable because the node was busy while its connection was established: all
 * attempts that wait at the endpoint would be given up, and the peers would avoid it.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import EndpointConnection from 'rhubarbcroft/instances/EndpointConnection';

const CONNECT_TIMEOUT_MS = 100;
const BUSY_MS = 300;
const MICROTASKS = 50;

describe('a connection to an endpoint while the node is busy', () => {
  it('is used when it was established in time, but the node could not see it', async () => {
    const server = createServer((_request, response) => response.end('whole'));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const connection = new EndpointConnection(`127.0.0.1:${port}`, CONNECT_TIMEOUT_MS);
    const call = { method: 'GET', path: '/', headers: [], body: undefined };
    const sending = connection.send(call, AbortSignal.timeout(5_000));
    // Blocks after the connect call, before sockets are polled.
    for (let turn = 0; turn < MICROTASKS; turn += 1) {
      await Promise.resolve();
    }
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, BUSY_MS);
    const sent = await sending;
    const outcome = sent.isOk ? sent.value.status : sent.error;
    connection.close();
    server.close();
    expect(outcome).to.equal(200);
  });
});
