/** Injects random pairs of failures, one pair for each seed: `npm run test:random -- --from 1 --count 50`. */
import { parseArgs } from 'node:util';
import runFailurePair from '../test/support/runFailurePair.js';

const { values: options } = parseArgs({
  options: { from: { type: 'string', default: '1' }, count: { type: 'string', default: '20' } },
});
const from = Number(options.from);
let failedSeeds = 0;
for (let seed = from; seed < from + Number(options.count); seed += 1) {
  const outcome = await runFailurePair(seed);
  process.stdout.write(`${JSON.stringify({ seed, ...outcome })}\n`);
  if (outcome.wrong.length > 0) {
    failedSeeds += 1;
    process.stdout.write(
      `seed ${seed} failed; repeat it with npm run test:random -- --from ${seed} --count 1\n`,
    );
  }
}
process.exitCode = failedSeeds === 0 ? 0 : 1;
