/** Tests which process holds the lease at which time, with a manual clock and a table in memory. */
import { expect } from 'chai';
import Lease from 'rhubarbcroft/orders/Lease';
import ManualClock from '../support/ManualClock.js';
import MemoryTable from '../support/MemoryTable.js';

const TTL_MS = 6_000;
const MARGIN_MS = 2_000;

describe('the lease', () => {
  function createLease(holder: string, table: MemoryTable, clock: ManualClock): Lease {
    return new Lease({
      table,
      clock,
      group: 'litoral',
      holder,
      ttlMs: TTL_MS,
      marginMs: MARGIN_MS,
    });
  }

  it('passes to another process only after its whole time to live, with the next epoch', async () => {
    const clock = new ManualClock();
    const table = new MemoryTable();
    const [first, second] = ['vm-1/a', 'vm-2/b'].map((holder) => createLease(holder, table, clock));
    await first.acquireOrRenew();
    const held: string[] = [];
    for (let round = 0; round < 9; round += 1) {
      await second.acquireOrRenew();
      held.push(`${first.authority?.epoch ?? '-'} ${second.authority?.epoch ?? '-'}`);
      await clock.sleep(1_000);
    }
    expect(held).toMatchSnapshot();
  });

  it('is not taken over while its holder renews it, and keeps its epoch', async () => {
    const clock = new ManualClock();
    const table = new MemoryTable();
    const [first, second] = ['vm-1/a', 'vm-2/b'].map((holder) => createLease(holder, table, clock));
    for (let round = 0; round < 20; round += 1) {
      await first.acquireOrRenew();
      await second.acquireOrRenew();
      await clock.sleep(1_500);
    }
    expect([first.authority?.epoch, second.authority?.epoch]).to.deep.equal([1, undefined]);
  });

  it('does not count as renewed when all answers to the renewal are lost', async () => {
    const clock = new ManualClock();
    const table = new MemoryTable();
    const lease = createLease('vm-1/a', table, clock);
    await lease.acquireOrRenew();
    await clock.sleep(3_000);
    table.loseAnswers(3);
    await lease.acquireOrRenew();
    await clock.sleep(1_500);
    const expired = lease.authority;
    await lease.acquireOrRenew();
    expect([expired, lease.authority?.epoch]).to.deep.equal([undefined, 1]);
  });

  it('expires a safety margin before its time to live, counted from before the renewal was sent', async () => {
    const clock = new ManualClock();
    const lease = createLease('vm-1/a', new MemoryTable(), clock);
    await lease.acquireOrRenew();
    await clock.sleep(TTL_MS - MARGIN_MS - 1);
    const before = lease.authority?.epoch;
    await clock.sleep(1);
    expect([before, lease.authority]).to.deep.equal([1, undefined]);
  });
});
