/**
 * Replays the recorded traces with the daemon's decision classes and with the baselines on a virtual clock,
 * and prints a table. `--trace PREFIX` and `--policy NAME` select traces and policies, `--json` adds JSON lines,
 * `--unseen N` generates new traces from the specifications instead, with N added to each seed.
 */
import { parseArgs } from 'node:util';
import Replay from './policy/Replay.js';
import computeBound from './policy/computeBound.js';
import createPolicies from './policy/createPolicies.js';
import listTraces from './policy/listTraces.js';
import summarise from './policy/summarise.js';

const SEED = 7;
const { values: options } = parseArgs({
  options: {
    trace: { type: 'string', default: '' },
    policy: { type: 'string', default: '' },
    unseen: { type: 'string', default: '0' },
    json: { type: 'boolean', default: false },
  },
});

function formatShare(value: number): string {
  return value.toFixed(3);
}

const policies = createPolicies().filter(
  ({ name }) => options.policy === '' || name === options.policy,
);
for (const trace of listTraces(options.trace, Number(options.unseen))) {
  const bound = computeBound(trace);
  process.stdout.write(
    `\n${trace.name}: ${trace.requests.length} requests, ${trace.engines} engines, bound ${bound.toFixed(1)} engine-s\n`,
  );
  process.stdout.write(
    'policy            goodput service  roles undone  in target by kind; during the flood\n',
  );
  for (const policy of policies) {
    const replay = new Replay(trace, policy, SEED).run();
    const summary = summarise(trace, replay);
    const kinds = Object.entries(summary.kinds).map(
      ([name, kind]) =>
        `${name} ${formatShare(kind.inTarget)} (${kind.firstTokenP95Ms}/${kind.betweenTokensP95Ms})`,
    );
    const flood = Object.entries(summary.duringFlood).map(
      ([name, share]) => `${name} ${formatShare(share)}`,
    );
    process.stdout.write(
      `${policy.name.padEnd(17)} ${formatShare(summary.goodput / bound)}   ${String(summary.service).padEnd(7)} ${String(summary.roleChanges).padEnd(6)}${String(summary.undoneChanges).padEnd(7)}${kinds.join(' ')}${flood.length > 0 ? `; ${flood.join(' ')}` : ''}\n`,
    );
    if (options.json) {
      process.stdout.write(
        `${JSON.stringify({ trace: trace.name, policy: policy.name, bound, ratio: summary.goodput / bound, ...summary })}\n`,
      );
    }
  }
}
