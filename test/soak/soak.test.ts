/** A short run of the fault soak at fixed seeds, and at those that once broke a promise. */
import { expect } from 'chai';
import REGRESSION_SEEDS from './REGRESSION_SEEDS.js';
import runSoak from './runSoak.js';

const FIXED_SEEDS = [1];
const DURATION_MS = 8_000;
const TEST_TIMEOUT_MS = 120_000;

describe('the fault soak', () => {
  const regressions = REGRESSION_SEEDS.map(({ seed, cause }) => ({ seed, name: `once: ${cause}` }));
  const fixed = FIXED_SEEDS.map((seed) => ({ seed, name: 'fixed' }));
  [...fixed, ...regressions].forEach(({ seed, name }) => {
    it(`keeps the promises at seed ${seed} (${name})`, async function test() {
      this.timeout(TEST_TIMEOUT_MS);
      const { broken } = await runSoak({
        seed,
        durationMs: DURATION_MS,
        nodeCount: 3,
        callersPerNode: 3,
      });
      expect(broken).to.deep.equal([]);
    });
  });
});
