/** Measures the mean time of an operation in microseconds, after a warm-up. */
const ROUNDS = 2_000;
const WARM_UP_ROUNDS = 4_000;
const US_PER_MS = 1_000;

export default function measureStepUs(step: (round: number) => void): number {
  for (let round = 0; round < WARM_UP_ROUNDS; round += 1) {
    step(round);
  }
  const startedAtMs = performance.now();
  for (let round = 0; round < ROUNDS; round += 1) {
    step(round);
  }
  return ((performance.now() - startedAtMs) / ROUNDS) * US_PER_MS;
}
