/** Short runs of the fault soak: two at fixed seeds, and one at each seed that failed before. */
import { expect } from 'chai';
import REGRESSION_SEEDS from './REGRESSION_SEEDS.js';
import runSoak from './runSoak.js';

const FIXED_RUN = {
  seed: 1,
  nodeCount: 3,
  callersPerNode: 3,
  durationMs: 8_000,
  classes: ['general'],
  cause: 'none',
} as const;
const FIXED_RUN_OF_NEWER_CLASSES = {
  ...FIXED_RUN,
  durationMs: 15_000,
  classes: ['pauses', 'answers', 'entries', 'timeouts', 'prompts'],
} as const;
const TEST_TIMEOUT_MS = 180_000;

describe('the fault soak', () => {
  [FIXED_RUN, FIXED_RUN_OF_NEWER_CLASSES, ...REGRESSION_SEEDS].forEach(({ cause, ...options }) => {
    it(`finds no violated guarantee at seed ${options.seed} with faults in ${options.classes.join(', ')} (cause of an earlier failure: ${cause})`, async function test() {
      this.timeout(TEST_TIMEOUT_MS);
      const { broken } = await runSoak(options);
      expect(broken).to.deep.equal([]);
    });
  });
});
