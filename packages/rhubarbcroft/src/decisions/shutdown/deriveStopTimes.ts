/** Derives the steps of a planned stop from the time after which the platform kills the process. */
import type StopTimes from './StopTimes.js';

/** Two probes of the balancer, a second apart, and their answers. */
const ACCEPT_MS = 3_000;
/** Kept for the exit of the process itself. */
const EXIT_MARGIN_MS = 500;
/** Kept for the answers to the requests that are ended, on a slow core and across regions. */
const ANSWER_MARGIN_MS = 500;

export default function deriveStopTimes(graceMs: number): StopTimes {
  const exitMs = Math.max(0, graceMs - EXIT_MARGIN_MS);
  return {
    acceptMs: Math.min(ACCEPT_MS, graceMs / 2),
    answerMs: Math.max(0, exitMs - ANSWER_MARGIN_MS),
    exitMs,
  };
}
