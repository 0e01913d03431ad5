/**
 * An attempt that ends because the caller disconnected or the deadline passed must not count as a failure of its
 * endpoint, which would be ejected although it works.
 */
import bunyan from 'bunyan';
import { expect } from 'chai';
import { err } from 'true-myth/result';
import PlatformProtocol from '@rhubarbcroft/platform/PlatformProtocol';
import EngineSpeeds from 'rhubarbcroft/decisions/placement/EngineSpeeds';
import FleetRetryBudget from 'rhubarbcroft/decisions/retries/FleetRetryBudget';
import Attempt from 'rhubarbcroft/forwarding/Attempt';
import type ForwardContext from 'rhubarbcroft/forwarding/ForwardContext';
import type ForwardRequest from 'rhubarbcroft/forwarding/ForwardRequest';
import StreamRelay from 'rhubarbcroft/forwarding/StreamRelay';
import InstanceState from 'rhubarbcroft/instances/InstanceState';
import InstanceRegistry from 'rhubarbcroft/instances/InstanceRegistry';
import CurrentRouting from 'rhubarbcroft/routes/CurrentRouting';
import NoopMetrics from 'rhubarbcroft/telemetry/NoopMetrics';
import ManualClock from '../support/ManualClock.js';

const REQUEST: ForwardRequest = {
  id: 'r',
  method: 'GET',
  path: '/',
  rawHeaders: [],
  body: undefined,
  route: {
    name: 'r',
    host: 'h',
    prefix: '/',
    kind: 'idempotent',
    destinations: [],
    timeoutMs: 1_000,
    targetLatencyMs: 400,
    maxAttempts: 2,
    rank: 0,
    resumable: false,
    hasPrompts: false,
    maxEventGapMs: 300,
  },
  service: 's',
  prompt: undefined,
  lastEventId: undefined,
  arrivedAtMs: 0,
  expiresAtMs: 1_000,
  isRepeatable: true,
};

function createContext(clock: ManualClock): ForwardContext {
  const log = bunyan.createLogger({ name: 'test', streams: [] });
  const routing = new CurrentRouting();
  return {
    location: { domain: 'a', regionsByDomain: { a: 'r' } },
    routing,
    registry: new InstanceRegistry({ routing, clock, log, connectTimeoutMs: 100 }),
    protocol: new PlatformProtocol(),
    retryBudget: new FleetRetryBudget({
      ratio: 1,
      windowMs: 1_000,
      reserve: 10,
      countNodes: () => 1,
    }),
    speeds: new EngineSpeeds(),
    notifyPeers: () => undefined,
    metrics: new NoopMetrics(),
    clock,
    log,
  };
}

describe('Attempt', () => {
  /** Runs two attempts whose dispatch fails, with or without the caller leaving, and reads the endpoint's health. */
  async function readHealthAfterFailures(
    kind: 'unsent' | 'broken',
    callerLeaves: boolean,
  ): Promise<unknown> {
    const clock = new ManualClock();
    const target = new InstanceState(
      {
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
      },
      { connectTimeoutMs: 100, kvCapacityTokens: 1 },
    );
    const caller = new AbortController();
    const connection = {
      send: async () => {
        if (callerLeaves) {
          caller.abort();
        }
        return err({ kind, detail: 'ended' });
      },
      close: () => undefined,
    };
    Object.assign(target.pool, { acquire: () => connection });
    const { unreachableSignal: lost } = target;
    for (let count = 0; count < 2; count += 1) {
      await new Attempt(createContext(clock), {
        request: REQUEST,
        placement: { target, prefill: undefined, copyFrom: undefined, prefillMs: 0, expectedMs: 0 },
        relay: new StreamRelay({ headersSent: false } as never),
        lastEventId: undefined,
        answerTimeoutMs: 400,
        maxPauseMs: 400,
        secureNext: () => true,
      }).run(caller.signal);
    }
    return { rests: target.health.isAvoided(clock.nowMs()), lost: lost.aborted };
  }

  it('counts a failed attempt against its endpoint, but not one whose caller disconnected', async () => {
    expect({
      'no connection': await readHealthAfterFailures('unsent', false),
      'broken twice': await readHealthAfterFailures('broken', false),
      'left while connecting': await readHealthAfterFailures('unsent', true),
      'left while waiting': await readHealthAfterFailures('broken', true),
    }).toMatchSnapshot();
  });
});
