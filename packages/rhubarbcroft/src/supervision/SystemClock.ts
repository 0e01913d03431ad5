/** The clock of a running daemon, based on the process's monotonic clock and Node.js timers. */
import { performance } from 'node:perf_hooks';
import Clock from './Clock.js';

export default class SystemClock extends Clock {
  override nowMs(): number {
    return performance.now();
  }

  override unixMs(): number {
    return Date.now();
  }

  override sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted === true) {
        resolve();
        return;
      }
      const timer = setTimeout(finish, delayMs);
      function finish(): void {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      }
      signal?.addEventListener('abort', finish, { once: true });
    });
  }
}
