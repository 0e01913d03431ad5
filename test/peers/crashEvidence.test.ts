/** Guards against crash reports of a peer that are malformed, and against clocks of nodes that differ. */
import { expect } from 'chai';
import encodeEvidence from 'rhubarbcroft/gossip/encodeEvidence';
import parseEvidence from 'rhubarbcroft/gossip/parseEvidence';

const REPORT = {
  run: 'engine-1@1',
  atMs: 100,
  prompts: [['a', 'b'], ['c']],
  provenBefore: ['c'],
  cleared: ['a'],
};
const CRASH = ['engine-1@1', 0, [['a']], [], []];

describe('crash reports between nodes', () => {
  it('arrive whole, with times of the clock of the node that receives them', () => {
    const encoded = encodeEvidence([REPORT], [{ part: 'b', startedAtMs: 140 }], 150);
    expect(parseEvidence(encoded, 9_000)).to.deep.equal({
      reports: [{ ...REPORT, atMs: 8_950 }],
      trials: [{ part: 'b', startedAtMs: 8_990 }],
    });
  });

  it('are ignored when a field is missing, has another type or is too large', () => {
    const malformed = [
      { crashes: 'none' },
      { crashes: [[]] },
      { crashes: [CRASH, [7, ...CRASH.slice(1)]] },
      { crashes: [['run', -1, [['a']], [], []]] },
      { crashes: [['run', NaN, [['a']], [], []]] },
      { crashes: [['run', 0, ['a'], [], []]] },
      { crashes: [['run', 0, [['a']], [], [{}]]] },
      { crashes: [['x'.repeat(300), 0, [['a']], [], []]] },
      { crashes: Array.from({ length: 2_000 }, () => CRASH) },
      { trials: [['a']] },
    ];
    expect(malformed.map((evidence) => parseEvidence(evidence, 0))).to.deep.equal(
      malformed.map(() => undefined),
    );
  });
});
