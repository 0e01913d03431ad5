/**
 * Pairs of overlapping failures under load, for a fixed set of seeds: no caller receives a wrong answer,
 * no call runs twice, and `not_run` is never reported for a call that ran. Run other seeds with
 * `npm run test:random -- --from N --count M`.
 */
import { expect } from 'chai';
import runFailurePair from '../support/runFailurePair.js';

const SEEDS = [1, 2, 3, 4, 5, 6];

describe('two overlapping failures', () => {
  for (const seed of SEEDS) {
    it(`returns no wrong answer and repeats no call with seed ${seed} (npm run test:random -- --from ${seed} --count 1)`, async () => {
      const outcome = await runFailurePair(seed);
      expect(outcome.wrong, outcome.failures.join(' and ')).to.deep.equal([]);
      expect(outcome.answered).to.be.above(0);
    });
  }
});
