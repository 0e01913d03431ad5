/**
 * Guards against a holder that renews its lease at the longer interval of a candidate, and so loses it,
 * because the answers to its renewals are lost. There is no golden file: the tested task imports a module
 * that is loaded asynchronously, and such a test file gets a separate instance of chai without the
 * snapshot plugin.
 */
import { expect } from 'chai';
import NodeDirectory from 'rhubarbcroft/membership/NodeDirectory';
import Lease from 'rhubarbcroft/orders/Lease';
import LeaseRenewer from 'rhubarbcroft/orders/LeaseRenewer';
import ManualClock from '../support/ManualClock.js';
import MemoryTable from '../support/MemoryTable.js';

const TTL_MS = 6_000;

describe('the lease task', () => {
  it('keeps the holder’s renewal interval while the answers to its renewals are lost', async () => {
    const clock = new ManualClock();
    const table = new MemoryTable();
    const directory = new NodeDirectory(
      { nodeId: 'vm-1', incarnation: 'a', domain: 'litoral' },
      clock,
      TTL_MS,
    );
    const others = { incarnation: 'b', domain: 'litoral', configurationVersion: 1, demand: [] };
    ['vm-2', 'vm-3', 'vm-4', 'vm-5', 'vm-6'].forEach((nodeId) =>
      directory.record({ ...others, nodeId, leaving: false }),
    );
    const lease = new Lease({
      table,
      clock,
      group: 'litoral',
      holder: 'vm-1/a',
      ttlMs: TTL_MS,
      marginMs: 2_000,
    });
    const stop = new AbortController();
    const intervalsMs: number[] = [];
    const sleep = clock.sleep.bind(clock);
    clock.sleep = async (delayMs) => {
      intervalsMs.push(delayMs);
      table.loseAnswers(3);
      await sleep(delayMs);
      if (intervalsMs.length === 6) {
        stop.abort();
      }
    };
    const bound = Promise.resolve();
    await new LeaseRenewer({ lease, directory, clock, ttlMs: TTL_MS, bound }).run(stop.signal);
    expect(intervalsMs).to.deep.equal(intervalsMs.map(() => TTL_MS / 3));
  });
});
