/**
 * Guards against taking a busy node or a slow caller for a silent endpoint: the attempt would be moved to another
 * endpoint or its stream cut although the endpoint sends all the time.
 */
import { EventEmitter, once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { ok } from 'true-myth/result';
import Attempt from 'rhubarbcroft/forwarding/Attempt';
import ProgressWatchdog from 'rhubarbcroft/forwarding/ProgressWatchdog';
import StreamRelay from 'rhubarbcroft/forwarding/StreamRelay';
import InstanceState from 'rhubarbcroft/instances/InstanceState';
import SystemClock from 'rhubarbcroft/supervision/SystemClock';
import OPEN_GATE from '../support/OPEN_GATE.js';
import createForwardContext from '../support/createForwardContext.js';
import createForwardRequest from '../support/createForwardRequest.js';
import sleep from '../support/sleep.js';

const ENGINE = {
  id: 'i',
  service: 's',
  address: '127.0.0.1:1',
  domain: 'a',
  slots: 4,
  isLeaving: false,
  stage: undefined,
  coldRemainingMs: 0,
  startedAtMs: 1,
  sequence: 1,
};

describe('a sound endpoint behind a delay of its node or caller', () => {
  it('keeps a stream whose caller stops reading for longer than an endpoint may be silent', async () => {
    const target = new InstanceState(ENGINE, { connectTimeoutMs: 100, kvCapacityTokens: 1 });
    async function* stream(): AsyncGenerator<Buffer> {
      yield Buffer.from('id: 1\ndata: a\n\n');
      await sleep(50);
      yield Buffer.from('id: 2\ndata: b\n\n');
    }
    let isGivenUp = false;
    const { route } = createForwardRequest();
    const rawHeaders = ['x-request-id', 'r', 'x-response-seal', 's'];
    const answer = { status: 200, rawHeaders, body: stream(), isFirst: true };
    const connection = { isOpen: false, send: async () => ok(answer), close: () => undefined };
    Object.assign(target.pool, { acquire: () => connection });
    const response = Object.assign(new EventEmitter(), {
      headersSent: true,
      writable: true,
      write: () => {
        setTimeout(() => response.emit('drain'), 500);
        return false;
      },
    });
    const result = await new Attempt(createForwardContext(new SystemClock()), {
      request: createForwardRequest({ route: { ...route, kind: 'stream' }, expiresAtMs: Infinity }),
      placement: { target, prefill: undefined, copyFrom: undefined, prefillMs: 0, expectedMs: 0 },
      relay: new StreamRelay(response as never),
      lastEventId: undefined,
      answerTimeoutMs: 200,
      maxPauseMs: 200,
      gate: OPEN_GATE,
      handOver: async () => {
        isGivenUp = true;
        return true;
      },
    }).run(new AbortController().signal);
    expect([result, isGivenUp]).to.deep.equal([{ type: 'streamed' }, false]);
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
      handOver: async () => true,
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
          handOver: async () => true,
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

  it('gives an attempt up once another has taken over, also if its endpoint is found unreachable meanwhile', async () => {
    const lost = new AbortController();
    const watchdog = new ProgressWatchdog({
      request: new AbortController().signal,
      lost: lost.signal,
      handOver: async () => {
        await sleep(100);
        return true;
      },
    });
    watchdog.expect(50);
    await sleep(100);
    lost.abort(new Error('connection failed'));
    await sleep(100);
    watchdog.close();
    expect(watchdog.wasSilent).to.equal(true);
  });
});
