/**
 * Measures the time of one routing decision, creation of the endpoint views included, at 10 to 1,000 replicas:
 * for prompts without a cacheable prefix, and for prompts whose prefix is not cached. Prints JSON lines.
 */
import measureRouting from './control/measureRouting.js';

const SIZES = [10, 71, 100, 1_000];

for (const prefix of ['none', 'unseen'] as const) {
  for (const replicas of SIZES) {
    const { usPerStep = 0 } = measureRouting(replicas, prefix);
    const result = {
      prefix,
      replicas,
      usPerDecision: usPerStep,
      usPerReplica: usPerStep / replicas,
    };
    process.stdout.write(`${JSON.stringify(result)}\n`);
  }
}
