/**
 * Guards against taking a busy node or a slow caller for a silent endpoint: the attempt would be moved to another
 * endpoint or its stream cut although the endpoint sends all the time.
 */
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import ProgressWatchdog from 'rhubarbcroft/forwarding/ProgressWatchdog';
import PlatformFixture from '../platform/standins/PlatformFixture.js';
import createConfiguration from '../platform/standins/createConfiguration.js';
import createRoute from '../platform/standins/createRoute.js';
import sleep from '../support/sleep.js';

const EVENT_COUNT = 150;
const EVENT = `data: ${'x'.repeat(100_000)}\n\n`;
const LARGE_ROUTE = createRoute('/large/', 'model', {
  kind: 'streaming',
  sticky: true,
  resumable: true,
  timeoutMs: 8_000,
  targetLatencyMs: 200,
  gapAimMs: 300,
});

describe('a sound endpoint behind a delay of its node or caller', () => {
  const platform = new PlatformFixture();
  const { store, decoders } = platform;

  before(async () => {
    await platform.start();
    store.put('op', 'config', createConfiguration(10, [LARGE_ROUTE]));
    await sleep(300);
  });
  after(() => platform.stop());

  it('keeps a stream whose caller stops reading for longer than an endpoint may be silent', async () => {
    decoders.forEach((decoder) => {
      Object.assign(decoder, {
        behaviour: ({ id, response }: Parameters<typeof decoder.behaviour>[0]) => {
          response.writeHead(200, { 'x-request-id': id, 'x-response-seal': `seal-${id}` });
          response.end(
            Array.from({ length: EVENT_COUNT }, (_unused, index) => `id: ${index}\n${EVENT}`).join(
              '',
            ),
          );
        },
      });
    });
    const socket = connect(Number(new URL(platform.gateway.url).port), '127.0.0.1');
    socket.write(
      'POST /large/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: slow-1\r\nx-deadline-ms: 8000\r\n' +
        'x-token-count: 9,40\r\nx-prefix-hash: a:5,b:4\r\ncontent-length: 1\r\nconnection: close\r\n\r\np',
    );
    let bytes = 0;
    await sleep(2_500);
    socket.on('data', (chunk) => {
      bytes += chunk.length;
    });
    await once(socket, 'close');
    expect([
      bytes > EVENT_COUNT * EVENT.length,
      PlatformFixture.countArrivals(decoders),
    ]).to.deep.equal([true, 1]);
  });

  it('reads what has arrived before it gives up an attempt after the node was busy', async () => {
    const server = createServer((socket) => {
      // The timers run between an immediate and the next read of sockets.
      setImmediate(() => {
        socket.write('in time');
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 400);
      });
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    await once(socket, 'connect');
    const watchdog = new ProgressWatchdog({
      request: new AbortController().signal,
      secureNext: () => true,
    });
    socket.once('data', () => watchdog.expect(undefined));
    watchdog.expect(200);
    await once(socket, 'data');
    await sleep(50);
    socket.destroy();
    server.close();
    expect(watchdog.wasSilent).to.equal(false);
  });

  it('keeps an attempt that makes progress although another connection to its endpoint failed', async () => {
    const outcomes = await Promise.all(
      [true, false].map(async (makesProgress) => {
        const lost = new AbortController();
        const watchdog = new ProgressWatchdog({
          request: new AbortController().signal,
          lost: lost.signal,
          secureNext: () => true,
        });
        watchdog.expect(5_000);
        lost.abort(new Error('connection failed'));
        await sleep(100);
        if (makesProgress) {
          watchdog.expect(5_000);
        }
        await sleep(500);
        watchdog.close();
        return { makesProgress, wasGivenUp: watchdog.wasSilent };
      }),
    );
    expect(outcomes).toMatchSnapshot();
  });
});
