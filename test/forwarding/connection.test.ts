/**
 * Answers that are truncated, followed by other bytes, or end with a close or a reset. A caller would get a partial
 * answer if a truncated one passed as complete, and the next request on a reused connection a foreign one.
 */
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

function fail(failure: unknown): never {
  throw new Error(JSON.stringify(failure));
}

describe('EndpointConnection', () => {
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

  async function exchange(onRequest: (socket: Socket) => void): Promise<unknown> {
    const connection = new EndpointConnection(await serve(onRequest), 5_000);
    const sent = await connection.send(CALL, AbortSignal.timeout(5_000));
    const outcome = sent.isOk
      ? [sent.value.status, await readAll(sent.value.body)]
      : [sent.error.kind];
    await sleep(20);
    const { isOpen } = connection;
    connection.close();
    return [...outcome, isOpen ? 'reusable' : 'not reusable'];
  }

  it('returns a complete answer whatever bytes follow it, and reports a truncated one', async () => {
    const whole = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole';
    const outcomes = {
      whole: await exchange((socket) => socket.write(whole)),
      'with a second answer after it': await exchange((socket) => socket.write(whole + whole)),
      'with bytes after it': await exchange((socket) => socket.write(`${whole}garbage`)),
      'shorter than its declared length': await exchange((socket) =>
        socket.end(whole.slice(0, -2)),
      ),
      'without a length, closed in order': await exchange((socket) =>
        socket.end('HTTP/1.1 200 OK\r\n\r\nopen'),
      ),
      'without a length, reset at once': await exchange((socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nopen');
        socket.resetAndDestroy();
      }),
      'without a length, reset': await exchange((socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nopen');
        setTimeout(() => socket.resetAndDestroy(), 20);
      }),
      'without a length, HTTP/1.0, reset': await exchange((socket) => {
        socket.write('HTTP/1.0 200 OK\r\nconnection: keep-alive\r\n\r\nopen');
        setTimeout(() => socket.resetAndDestroy(), 20);
      }),
      'without a length or a body, closed in order': await exchange((socket) =>
        socket.end('HTTP/1.1 200 OK\r\n\r\n'),
      ),
      'a failure without a length or a body, closed in order': await exchange((socket) =>
        socket.end('HTTP/1.1 500 Failed\r\n\r\n'),
      ),
      'a transfer coding without chunks, closed in order': await exchange((socket) =>
        socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nopen'),
      ),
      'a transfer coding without chunks, reset': await exchange((socket) => {
        socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nopen');
        setTimeout(() => socket.resetAndDestroy(), 20);
      }),
      'chunks that do not end': await exchange((socket) =>
        socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nopen\r\n'),
      ),
      'no answer in the protocol': await exchange((socket) => socket.end('hello')),
      'closed without an answer': await exchange((socket) => socket.destroy()),
    };
    expect(outcomes).toMatchSnapshot();
  });

  it('reports an answer that is cut anywhere before its end, in order or by a reset', async () => {
    const head = '200 OK\r\nx-response-seal: s\r\nconnection: close\r\n';
    const sized = `${head}content-length: 5\r\n\r\nwhole`;
    const chunked = `${head}transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`;
    const answers = {
      'with a length': `HTTP/1.1 ${sized}`,
      'with a length, HTTP/1.0': `HTTP/1.0 ${sized}`,
      'in chunks': `HTTP/1.1 ${chunked}`,
      'after an interim answer': `HTTP/1.1 103 Hints\r\nlink: l\r\n\r\nHTTP/1.1 ${sized}`,
      'after an unexpected 100': `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 ${sized}`,
    };
    const cutAt = async (answer: string, end: number, isReset: boolean): Promise<string> => {
      const outcome = await exchange((socket) => {
        socket.write(answer.slice(0, end));
        setTimeout(() => (isReset ? socket.resetAndDestroy() : socket.end()), 20);
      });
      return (outcome as readonly unknown[]).join(', ').replace(/\w* \(cut\)/, 'cut');
    };
    const outcomes: Record<string, readonly string[]> = {};
    for (const [name, answer] of Object.entries(answers)) {
      const seen = await Promise.all(
        [...answer].flatMap((_byte, end) => [cutAt(answer, end, false), cutAt(answer, end, true)]),
      );
      outcomes[name] = [...new Set(seen)].sort();
    }
    expect(outcomes).toMatchSnapshot();
  });

  it('ends the answer and not the process when it breaks off while its reader is slow', async () => {
    const start = 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 999999\r\n\r\n';
    const breakOff = async (finish: (socket: Socket) => void): Promise<boolean> => {
      const address = await serve((socket) => {
        socket.write(`${start}${'x'.repeat(70_000)}`);
        setTimeout(() => finish(socket), 20);
      });
      const connection = new EndpointConnection(address, 500);
      const { body } = (await connection.send(CALL, AbortSignal.timeout(1_000))).unwrapOrElse(fail);
      await sleep(100);
      const startedAtMs = performance.now();
      const text = await readAll(body);
      connection.close();
      return text.endsWith('(cut)') && performance.now() - startedAtMs < 500;
    };
    expect(await breakOff((socket) => socket.end())).to.equal(true);
    expect(await breakOff((socket) => socket.resetAndDestroy())).to.equal(true);
  });

  it('reports a request as unsent when no connection could be made', async () => {
    const address = await serve(() => undefined);
    servers.forEach((server) => server.close());
    const connection = new EndpointConnection(address, 200);
    const sent = await connection.send(CALL, AbortSignal.timeout(2_000));
    expect(sent.isErr && sent.error.kind).to.equal('unsent');
  });
});

describe('EventSplitter', () => {
  it('passes complete events unchanged and keeps the last event id for any chunk size', () => {
    const stream =
      'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\nid: 4\nda';
    const results = [1, 2, 3, 7, 100].map((size) => {
      const splitter = new EventSplitter();
      let passed = '';
      for (let at = 0; at < stream.length; at += size) {
        passed += splitter.push(Buffer.from(stream.slice(at, at + size))).toString();
      }
      return [passed === stream.slice(0, -8), splitter.lastEventId, splitter.isAtEventBoundary];
    });
    expect(results).to.deep.equal(Array.from({ length: 5 }, () => [true, '3', false]));
  });
});
