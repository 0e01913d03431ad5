/**
 * Guards against blaming the companions of a poisonous prompt part, and against nodes that reach different verdicts
 * because they learned of the same crashes in another order.
 */
import { expect } from 'chai';
import type CrashReport from 'rhubarbcroft/decisions/poison/CrashReport';
import PartQuarantine from 'rhubarbcroft/decisions/poison/PartQuarantine';
import judgeParts from 'rhubarbcroft/decisions/poison/judgeParts';
import ManualClock from '../support/ManualClock.js';

/** A report per list of prompts, each written as its parts. */
function createReports(
  crashes: readonly (readonly string[])[],
  options: Partial<CrashReport> = {},
): readonly CrashReport[] {
  return crashes.map((prompts, index) => ({
    run: `engine-${index}`,
    atMs: index,
    prompts: prompts.map((prompt) => prompt.split(' ')),
    provenBefore: [],
    cleared: [],
    ...options,
  }));
}

function createQuarantine(clock: ManualClock, nodesAhead = 0): PartQuarantine {
  return new PartQuarantine({ clock, countNodesAhead: () => nodesAhead });
}

describe('the verdict on prompt parts', () => {
  it('holds the part that explains the crashes, not its companions', () => {
    const cases: Readonly<Record<string, readonly CrashReport[]>> = {
      'one crash': createReports([['a b']]),
      'the deeper of two parts that are always together': createReports([['a b'], ['a b']]),
      'the part that they share': createReports([['a x b'], ['c b'], ['a b', 'c d']]),
      'no part with fewer crashes': createReports([['a b', 'c d'], ['a b', 'c d'], ['a b']]),
      'two that cannot be told apart': createReports([
        ['a b', 'c d'],
        ['a b', 'c d'],
      ]),
      'the deeper part, although the one in front was alone too': createReports([
        ['a b', 'a'],
        ['a b', 'a'],
      ]),
      'none of many that cannot be told apart': createReports([
        ['a', 'b', 'c', 'd', 'e'],
        ['a', 'b', 'c', 'd', 'e'],
      ]),
      'no part that is cleared': createReports([['a b'], ['a b']], { cleared: ['a', 'b'] }),
      'the companion of a part that is cleared': createReports([['a b'], ['a b']], {
        cleared: ['b'],
      }),
      'a part that was proven, after three crashes': createReports([['a'], ['a'], ['a']], {
        provenBefore: ['a'],
      }),
      'no part that was proven, after two': createReports([['a'], ['a']], { provenBefore: ['a'] }),
      'the part of a prompt that was never proven': createReports([['a b'], ['a b']], {
        provenBefore: ['b'],
      }),
      'a request without parts': createReports([['request:x'], ['request:x']]),
      'a part, and not the request that has it': createReports([
        ['a request:x'],
        ['a request:x', 'request:y'],
      ]),
      'a request whose part is cleared': createReports([['a request:x'], ['a request:x']], {
        cleared: ['a'],
      }),
      'a part that was proven, with unlike requests': createReports(
        [['a request:x'], ['a request:x'], ['a request:y']],
        { provenBefore: ['a'] },
      ),
      'the request with most crashes': createReports([
        ['request:x', 'request:y'],
        ['request:x', 'request:y'],
        ['request:x'],
      ]),
    };
    const verdicts = Object.entries(cases).map(([name, reports]) => [
      name,
      judgeParts(reports)
        .map(({ part, crashes }) => `${part} after ${crashes}`)
        .join(', '),
    ]);
    expect(Object.fromEntries(verdicts)).toMatchSnapshot();
  });

  it('does not depend on the order or the number of times in which reports arrive', () => {
    const whole = createReports([['a b', 'c d'], ['a b'], ['a b', 'e'], ['c d']]);
    const clears = whole.map((report) => ({ ...report, prompts: [], cleared: ['a', 'c'] }));
    const orders = [
      [...whole, ...clears],
      [...clears, ...whole],
      [...whole, ...clears, ...whole].reverse(),
    ];
    const verdicts = orders.map((reports) => {
      const quarantine = createQuarantine(new ManualClock());
      reports.forEach((report) => quarantine.merge([report]));
      expect(quarantine.merge(reports).news).to.deep.equal([]);
      return quarantine.verdicts.map(({ part, crashes }) => `${part} after ${crashes}`);
    });
    expect(verdicts).to.deep.equal(orders.map(() => ['b after 3']));
  });

  it('sends no report around again that was dropped for lack of space', () => {
    const nodes = [1, 2].map(() => createQuarantine(new ManualClock()));
    let news = createReports(Array.from({ length: 200 }, (_unused, index) => [`part-${index}`]));
    let rounds = 0;
    while (news.length > 0 && rounds < 10) {
      news = nodes[rounds % 2].merge(news).news;
      rounds += 1;
    }
    nodes.forEach((node, index) => nodes[1 - index].merge(node.listOpenReports()));
    const repeated = nodes.map(
      (node, index) => nodes[1 - index].merge(node.listOpenReports()).news,
    );
    expect([rounds, repeated]).to.deep.equal([3, [[], []]]);
  });

  it('lapses after a time that grows, for the test of one request by one node', async () => {
    const clock = new ManualClock();
    const quarantine = createQuarantine(clock);
    const third = createQuarantine(clock, 2);
    const steps: string[] = [];
    for (let crash = 1; crash <= 6; crash += 1) {
      [quarantine, third].forEach((node) => node.recordCrash(`engine-${crash}`, [['a', 'b']]));
      const holdMs = quarantine.computeHoldMs('b');
      await clock.sleep(holdMs);
      const [other, first, second] = [third, quarantine, quarantine].map((node) =>
        node.admit(['a', 'b']),
      );
      steps.push(
        `${holdMs} ms, third node ${other.type}, first node ${first.type}, then ${second.type}`,
      );
    }
    expect(steps).toMatchSnapshot();
    quarantine.recordAnswer(['a', 'b']);
    expect([quarantine.verdicts, quarantine.admit(['a', 'b']).type]).to.deep.equal([[], 'allowed']);
    await clock.sleep(2_000);
    expect(third.admit(['a', 'b']).type).to.equal('trial');
  });
});
