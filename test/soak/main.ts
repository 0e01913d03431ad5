/**
 * The fault soak: runs seeds one after another and reports whether each violated a guarantee. To repeat the
 * faults of a printed seed, run `npm run soak -- --from SEED --count 1`.
 */
import { defineCommand, runMain } from 'citty';
import FAULT_CLASSES from './FAULT_CLASSES.js';
import drawFaultClasses from './drawFaultClasses.js';
import runSoak from './runSoak.js';

const MS_PER_S = 1_000;

await runMain(
  defineCommand({
    meta: {
      name: 'soak',
      description: 'Injects random faults into real processes and checks the guarantees',
    },
    args: {
      from: { type: 'string', default: '1', description: 'The first seed' },
      count: {
        type: 'string',
        default: '1',
        description: 'Number of seeds, run one after another',
      },
      seconds: {
        type: 'string',
        default: '15',
        description: 'Duration of the faults for each seed, in seconds',
      },
      nodes: { type: 'string', default: '4', description: 'Number of forwarding nodes' },
      classes: {
        type: 'string',
        description: `Classes of faults, separated by commas, of ${FAULT_CLASSES.join(', ')}; by default drawn from the seed`,
      },
      callers: { type: 'string', default: '4', description: 'Number of callers for each node' },
    },
    run: async ({ args }) => {
      let brokenSeeds = 0;
      const first = Number(args.from);
      for (let seed = first; seed < first + Number(args.count); seed += 1) {
        const names = args.classes?.split(',') ?? drawFaultClasses(seed);
        const classes = FAULT_CLASSES.filter((name) => names.includes(name));
        const { broken, answers, faults } = await runSoak({
          seed,
          durationMs: Number(args.seconds) * MS_PER_S,
          nodeCount: Number(args.nodes),
          callersPerNode: Number(args.callers),
          classes,
        });
        const verdict = broken.length === 0 ? 'kept' : `${broken.length} broken`;
        process.stdout.write(
          `seed ${seed} (${classes.join(', ')}): ${verdict} ${JSON.stringify(answers)}\n`,
        );
        if (broken.length > 0) {
          brokenSeeds += 1;
          process.stdout.write(`${[...broken.slice(0, 10), ...faults].join('\n')}\n`);
        }
      }
      process.exit(brokenSeeds === 0 ? 0 : 1);
    },
  }),
);
