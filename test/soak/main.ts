/**
 * The fault soak: plays seeds one after the other and says of each whether a promise was broken. Every seed that
 * is printed repeats its faults with `npm run soak -- --from SEED --count 1`.
 */
import { defineCommand, runMain } from 'citty';
import runSoak from './runSoak.js';

const MS_PER_S = 1_000;

await runMain(
  defineCommand({
    meta: { name: 'soak', description: 'Plays random faults against real processes' },
    args: {
      from: { type: 'string', default: '1', description: 'The first seed' },
      count: { type: 'string', default: '1', description: 'How many seeds, one after the other' },
      seconds: { type: 'string', default: '15', description: 'How long faults come, a seed' },
      nodes: { type: 'string', default: '4', description: 'Processes of the system' },
      callers: { type: 'string', default: '4', description: 'Callers a node' },
    },
    run: async ({ args }) => {
      let brokenSeeds = 0;
      const first = Number(args.from);
      for (let seed = first; seed < first + Number(args.count); seed += 1) {
        const { broken, answers, faults } = await runSoak({
          seed,
          durationMs: Number(args.seconds) * MS_PER_S,
          nodeCount: Number(args.nodes),
          callersPerNode: Number(args.callers),
        });
        const verdict = broken.length === 0 ? 'kept' : `${broken.length} broken`;
        process.stdout.write(`seed ${seed}: ${verdict} ${JSON.stringify(answers)}\n`);
        if (broken.length > 0) {
          brokenSeeds += 1;
          process.stdout.write(`${[...broken.slice(0, 10), ...faults].join('\n')}\n`);
        }
      }
      process.exit(brokenSeeds === 0 ? 0 : 1);
    },
  }),
);
