/** What a connection to an endpoint makes of answers that are cut, doubled, or end with a reset. */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { once } from 'node:events';
import { expect } from 'chai';
import EndpointConnection from 'rhubarbcroft/instances/EndpointConnection';
import EventSplitter from 'rhubarbcroft/forwarding/EventSplitter';
import sleep from '../support/sleep.js';

const CALL = { method: 'GET', path: '/', headers: ['x-request-id', 'r'], body: undefined };

async function readAll(body: AsyncIterable<Buffer>): Promise<string> {
  let text = '';
  try {
    for await (const chunk of body) {
      text += chunk.toString('latin1');
    }
    return text;
  } catch {
    return `${text} (cut)`;
  }
}

describe('a connection to an endpoint', () => {
  const servers: Server[] = [];

  afterEach(() => {
    servers.splice(0).forEach((server) => server.close());
  });

  async function serve(onRequest: (socket: Socket) => void): Promise<string> {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', () => onRequest(socket));
    });
    servers.push(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  async function ask(onRequest: (socket: Socket) => void): Promise<unknown> {
    const connection = new EndpointConnection(await serve(onRequest), 500);
    const sent = await connection.send(CALL, AbortSignal.timeout(2_000));
    const outcome = sent.isOk
      ? [sent.value.status, await readAll(sent.value.body)]
      : [sent.error.kind];
    await sleep(20);
    const { isOpen } = connection;
    connection.close();
    return [...outcome, isOpen ? 'reusable' : 'not reusable'];
  }

  it('keeps a whole answer whatever follows it, and does not take it for whole otherwise', async () => {
    const whole = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole';
    const outcomes = {
      whole: await ask((socket) => socket.write(whole)),
      'with a second answer after it': await ask((socket) => socket.write(whole + whole)),
      'with bytes after it': await ask((socket) => socket.write(`${whole}garbage`)),
      'shorter than it said': await ask((socket) => socket.end(whole.slice(0, -2))),
      'without a length, closed in order': await ask((socket) =>
        socket.end('HTTP/1.1 200 OK\r\n\r\nopen'),
      ),
      'without a length, reset': await ask((socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nopen');
        setTimeout(() => socket.resetAndDestroy(), 20);
      }),
      'chunks that do not end': await ask((socket) =>
        socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nopen\r\n'),
      ),
      'no answer in the protocol': await ask((socket) => socket.end('hello')),
      'closed without an answer': await ask((socket) => socket.destroy()),
    };
    expect(outcomes).toMatchSnapshot();
  });

  it('is certainly unsent when no connection was made', async () => {
    const address = await serve(() => undefined);
    servers.forEach((server) => server.close());
    const connection = new EndpointConnection(address, 200);
    const sent = await connection.send(CALL, AbortSignal.timeout(2_000));
    expect(sent.isErr && sent.error.kind).to.equal('unsent');
  });
});

describe('the splitting of event streams', () => {
  it('keeps bytes as they are, and knows the last whole event however they are cut', () => {
    const stream =
      'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\nid: 4\nda';
    const seen = [1, 2, 3, 7, 100].map((size) => {
      const splitter = new EventSplitter();
      let passed = '';
      for (let at = 0; at < stream.length; at += size) {
        passed += splitter.push(Buffer.from(stream.slice(at, at + size))).toString();
      }
      return [passed === stream.slice(0, -8), splitter.lastEventId, splitter.isBetweenEvents];
    });
    expect(seen).to.deep.equal(Array.from({ length: 5 }, () => [true, '3', false]));
  });
});
