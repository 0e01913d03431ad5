/**
 * Guards against endpoints in trouble that write without end: the bytes of one connection must neither fill the
 * memory of a node nor hold a request until its deadline.
 */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { once } from 'node:events';
import { expect } from 'chai';
import EventSplitter from 'rhubarbcroft/forwarding/EventSplitter';
import StreamRelay from 'rhubarbcroft/forwarding/StreamRelay';
import readWholeBody from 'rhubarbcroft/forwarding/readWholeBody';
import EndpointConnection from 'rhubarbcroft/instances/EndpointConnection';

const CALL = { method: 'GET', path: '/', headers: ['x-request-id', 'r'], body: undefined };
const OK = 'HTTP/1.1 200 OK\r\n';
const FILLER = 'x'.repeat(16_384);
/** Far above what a connection may hold, so that only a bound of its own ends it. */
const MAX_WRITTEN_BYTES = 67_108_864;
const RESPONSE = { headersSent: true, writable: true, write: () => true };
const IGNORED = { advance: () => undefined, pause: () => undefined, resume: () => undefined };

describe('an answer without end', () => {
  const servers: Server[] = [];

  afterEach(() => {
    servers.splice(0).forEach((server) => server.close());
  });

  /** Serves `start`, then `filler` until the client closes; returns the address and what was written. */
  async function serve(
    start: string,
    filler: string,
  ): Promise<{ address: string; written: () => number }> {
    let written = 0;
    const pour = (socket: Socket): void => {
      while (!socket.destroyed && written < MAX_WRITTEN_BYTES) {
        written += filler.length;
        if (!socket.write(filler)) {
          socket.once('drain', () => pour(socket));
          return;
        }
      }
      socket.destroy();
    };
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write(start);
        pour(socket);
      });
    });
    servers.push(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return {
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      written: () => written,
    };
  }

  /** Reads the answer as an attempt does, and reports whether it ended early, in which way, and with how many bytes. */
  async function read(start: string, filler: string, isStream = false): Promise<unknown> {
    const { address, written } = await serve(start, filler);
    const connection = new EndpointConnection(address, 500);
    const sent = await connection.send(CALL, AbortSignal.timeout(30_000));
    let outcome = 'complete';
    if (sent.isErr) {
      outcome = sent.error.kind;
    } else {
      try {
        const { body } = sent.value;
        await (isStream
          ? new StreamRelay(RESPONSE as never).relay(body, IGNORED)
          : readWholeBody(body));
      } catch {
        outcome = 'body refused';
      }
    }
    connection.close();
    return { outcome, isBounded: written() < MAX_WRITTEN_BYTES / 4 };
  }

  it('is ended by a bound in its head, its framing, its body and an event', async () => {
    const chunked = `${OK}transfer-encoding: chunked\r\n\r\n`;
    expect({
      'status line': await read('HTTP/1.1 200 ', FILLER),
      'one header': await read(`${OK}x: `, FILLER),
      'many headers': await read(OK, 'x-filler: y\r\n'),
      'interim answers': await read('', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500)),
      'body with a length': await read(`${OK}content-length: 99999999999\r\n\r\n`, FILLER),
      'body without a length': await read(`${OK}\r\n`, FILLER),
      'chunk extension': await read(`${chunked}4;`, FILLER),
      trailers: await read(`${chunked}0\r\n`, 'x-filler: y\r\n'),
      event: await read(chunked, `4000\r\n${FILLER}\r\n`, true),
    }).toMatchSnapshot();
  });

  it('of small chunks costs linear time in an event that does not end', () => {
    const splitter = new EventSplitter();
    const startedAtMs = performance.now();
    const chunk = Buffer.from('x');
    for (let count = 0; count < 100_000; count += 1) {
      splitter.push(chunk);
    }
    expect(performance.now() - startedAtMs).to.be.below(2_000);
    expect(() => splitter.push(Buffer.alloc(200_000))).to.throw('larger than');
  });

  it('that drips bytes and comments makes no progress, and a complete event does', async () => {
    let progressCount = 0;
    async function* drip(): AsyncGenerator<Buffer> {
      yield* ['id: 1\n', 'da', 'ta: a', '\n', '\n', ': comment\n\n', 'data: b\n\n'].map((text) =>
        Buffer.from(text),
      );
    }
    const advance = (): void => {
      progressCount += 1;
    };
    await new StreamRelay(RESPONSE as never).relay(drip(), { ...IGNORED, advance });
    expect(progressCount).to.equal(2);
  });
});
