/**
 * Waits until the retry budget allows another attempt. The budget limits the rate of retries, so that they
 * do not multiply the load when many endpoints fail at once; it never fails an accepted request. Returns
 * false when the deadline passes first or the signal aborts.
 */
import type RetryBudget from '../decisions/retries/RetryBudget.js';
import type Clock from '../supervision/Clock.js';

const POLL_INTERVAL_MS = 100;

interface RetryWaitOptions {
  readonly retries: RetryBudget;
  readonly clock: Clock;
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

export default async function waitForRetry({
  retries,
  clock,
  deadlineAtMs,
  signal,
}: RetryWaitOptions): Promise<boolean> {
  while (!signal.aborted && clock.nowMs() < deadlineAtMs) {
    if (retries.spend(clock.nowMs())) {
      return true;
    }
    await clock.sleep(POLL_INTERVAL_MS, signal);
  }
  return false;
}
