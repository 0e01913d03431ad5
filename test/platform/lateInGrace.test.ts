/**
 * Guards against requests that a planned stop takes although they can't end before the process exits: they would be passed
 * on and cut without an answer, also those that may run only once.
 */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import StopAdmission from 'rhubarbcroft/decisions/shutdown/StopAdmission';
import deriveStopTimes from 'rhubarbcroft/decisions/shutdown/deriveStopTimes';
import ReplicaStandin from './standins/ReplicaStandin.js';
import StoreStandin from './standins/StoreStandin.js';
import createConfiguration from './standins/createConfiguration.js';
import createRoute from './standins/createRoute.js';
import startGateway from './standins/startGateway.js';
import sleep from '../support/sleep.js';

/** Connections are accepted for 2.5 s, open requests are ended after 4 s, and the process would exit after 4.5 s. */
const GRACE_MS = 5_000;
const ROUTE_TIMEOUT_MS = 3_000;

describe('a request that reaches a node late in a planned stop', () => {
  const store = new StoreStandin();
  const ledger = new ReplicaStandin('ledger-1', 'ledger');
  const engine = new ReplicaStandin('engine-1', 'model', 'decode');
  let gateway: Awaited<ReturnType<typeof startGateway>>;

  before(async () => {
    await Promise.all([store.start(), ledger.start(), engine.start()]);
    const hang = createRoute('/hang/', 'ledger', { kind: 'non_idempotent', timeoutMs: 9_000 });
    const configuration = createConfiguration(1, [hang], { timeoutMs: ROUTE_TIMEOUT_MS });
    store.put('op', 'config', configuration);
    [ledger, engine].forEach((replica) => store.put('servers', replica.id, replica.createEntry()));
    gateway = await startGateway({ storeUrl: store.url, shutdownGraceMs: GRACE_MS });
  });

  after(async () => {
    await Promise.all([ledger.stop(), engine.stop(), store.stop()]);
  });

  async function open(): Promise<Socket> {
    const socket = connect(Number(new URL(gateway.url).port), '127.0.0.1');
    await once(socket, 'connect');
    return socket;
  }

  /** Sends a booking; returns the status of its answer, and whether it reached the replica. */
  async function book(socket: Socket, id: string, path = '/book/1'): Promise<string> {
    socket.write(
      `POST ${path} HTTP/1.1\r\nhost: shop.example\r\nx-request-id: ${id}\r\ncontent-length: 1\r\n\r\nx`,
    );
    const answer = (await Promise.race([once(socket, 'data'), once(socket, 'close')])) as [
      Buffer | boolean,
    ];
    const [, status = 'no answer'] = /^HTTP\/1.1 (\d+)/.exec(String(answer[0])) ?? [];
    const wasPassedOn = ledger.arrivals.some((arrival) => arrival.id === id);
    return `${status}${wasPassedOn ? ', passed on' : ''}`;
  }

  it('is refused as not run if it may last longer, and otherwise gets an answer before the exit', async () => {
    const sockets = await Promise.all([1, 2, 3, 4, 5].map(open));
    expect(await book(sockets[3], 'usual-01')).to.equal('200, passed on');
    ledger.behaviour = () => undefined;
    const beforeStop = book(sockets[4], 'before-1', '/hang/1');
    await sleep(50);
    const stopped = gateway.stop();
    const startedAtMs = performance.now();
    const early = book(sockets[0], 'early-01');
    await sleep(1_500);
    const later = book(sockets[1], 'later-01');
    await sleep(1_300);
    const late = book(sockets[2], 'late-001');
    const outcomes = {
      before: await beforeStop,
      early: await early,
      later: await later,
      late: await late,
    };
    const tookMs = performance.now() - startedAtMs;
    await stopped;
    expect(outcomes).to.deep.equal({
      before: '504, passed on',
      early: '504, passed on',
      later: '504, passed on',
      late: '503',
    });
    expect(tookMs).to.be.lessThan(GRACE_MS - 500);
  });

  it('is taken if its time limit lies before the end, or if it is early and usually short', () => {
    const stop = new StopAdmission(deriveStopTimes(8_000));
    const beforeStop = stop.admits({ expiresAtMs: 60_000, usualMs: 9_000 }, 0);
    stop.begin(1_000);
    stop.begin(5_000);
    const admits = (sentMs: number, limitMs: number, usualMs?: number): boolean =>
      stop.admits({ expiresAtMs: 1_000 + sentMs + limitMs, usualMs }, 1_000 + sentMs);
    expect({
      times: [2_000, 8_000].map(deriveStopTimes),
      beforeStop,
      endsAtMs: stop.endsAtMs,
      'a limit of 10 s at once, usually 6 s': admits(0, 10_000, 6_000),
      'the same after 1.5 s': admits(1_500, 10_000, 6_000),
      'a limit of 10 s at once, never seen': admits(0, 10_000),
      'a limit of 6 s after 2.4 s, usually 0.4 s': admits(2_400, 6_000, 400),
      'the same after 2.6 s': admits(2_600, 6_000, 400),
      'a limit of 1.2 s after 5.7 s': admits(5_700, 1_200),
      'the same after 5.9 s': admits(5_900, 1_200),
    }).toMatchSnapshot();
  });
});
