/** Short runs of the fault soak: one at a fixed seed, and one at each seed that failed before. */
import { expect } from 'chai';
import REGRESSION_SEEDS from './REGRESSION_SEEDS.js';
import runSoak from './runSoak.js';

const FIXED_RUN = { seed: 1, nodeCount: 3, callersPerNode: 3, durationMs: 8_000, cause: 'none' };
const TEST_TIMEOUT_MS = 180_000;

describe('the fault soak', () => {
  [FIXED_RUN, ...REGRESSION_SEEDS].forEach(({ cause, ...options }) => {
    it(`finds no violated guarantee at seed ${options.seed} (cause of an earlier failure: ${cause})`, async function test() {
      this.timeout(TEST_TIMEOUT_MS);
      const { broken } = await runSoak(options);
      expect(broken).to.deep.equal([]);
    });
  });
});
