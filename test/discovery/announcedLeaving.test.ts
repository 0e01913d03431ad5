/**
 * Guards against requests that are sent to an instance after one of its answers announced that it leaves, when the entry
 * in the store says nothing of it or can't be read: they would be lost at its exit.
 */
import bunyan from 'bunyan';
import { expect } from 'chai';
import type Instance from 'rhubarbcroft/instances/Instance';
import InstanceRegistry from 'rhubarbcroft/instances/InstanceRegistry';
import CurrentRouting from 'rhubarbcroft/routes/CurrentRouting';
import PlatformFixture from '../platform/standins/PlatformFixture.js';
import ReplicaStandin from '../platform/standins/ReplicaStandin.js';
import ManualClock from '../support/ManualClock.js';
import createInstance from '../support/createInstance.js';

const RUN = createInstance({ id: 'a', sequence: 7 });

describe('an instance that announces in an answer that it leaves', () => {
  it('gets no request for the rest of its run, whatever its entry says, and a new run does', () => {
    const routing = new CurrentRouting();
    const log = bunyan.createLogger({ name: 'test', streams: [] });
    const clock = new ManualClock();
    const registry = new InstanceRegistry({ routing, clock, log, connectTimeoutMs: 100 });
    let version = 1;
    const offer = (change: Partial<Instance> | undefined): boolean => {
      version += 1;
      const value = change && { ...RUN, ...change };
      registry.applyChanges({ version, rows: [{ key: 'a', version, value }] });
      return registry.listAvailable('s').length > 0;
    };
    const atFirst = offer({});
    registry.listAvailable('s').forEach((state) => registry.recordLeaving(state));
    const outcomes = {
      atFirst,
      'an older entry': offer({ sequence: 6 }),
      'the next entry, still ready': offer({ sequence: 8 }),
      'an entry that vanished': offer(undefined),
      'the same run once more': offer({ sequence: 9 }),
      'a later run': offer({ startedAtMs: 2_000, sequence: 0 }),
    };
    expect(outcomes).toMatchSnapshot();
  });
});

describe('answers that announce leaving', () => {
  const platform = new PlatformFixture();
  const { ledgers, prefiller, decoders } = platform;

  before(() => platform.start());
  after(() => platform.stop());

  /** Lets a replica answer requests until one has reached it, then counts what reaches it later. */
  async function countLater(
    replica: ReplicaStandin,
    send: () => Promise<unknown>,
  ): Promise<number> {
    replica.arrivals.splice(0);
    Object.assign(replica, { isLeaving: true });
    const sendMany = (): Promise<unknown> => Promise.all(Array.from({ length: 12 }, send));
    for (let round = 0; round < 5 && replica.arrivals.length === 0; round += 1) {
      await sendMany();
    }
    const known = replica.arrivals.length;
    expect(known).to.be.greaterThan(0);
    await sendMany();
    return replica.arrivals.length - known;
  }

  it('keep all later requests away, whether they answer a run, a refusal or a prefill', async () => {
    const later: Record<string, number> = {};
    later.run = await countLater(ledgers[0], () => platform.call('/read/1'));
    later.prefill = await countLater(prefiller, () => platform.generate('/audit/1', 800));
    decoders[0].behaviour = ReplicaStandin.decline;
    decoders[1].behaviour = ReplicaStandin.stream(1);
    later.refusal = await countLater(decoders[0], () => platform.generate('/audit/1', 20));
    expect(later).to.deep.equal({ run: 0, prefill: 0, refusal: 0 });
  });
});
