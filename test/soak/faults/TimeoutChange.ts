/** The operator lowers and raises the time limits of idle connections and of routes in quick succession. */
import { setTimeout as sleep } from 'node:timers/promises';
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

const STEPS = [
  { idleTimeoutMs: 1_000, timeoutMs: 3_000 },
  { idleTimeoutMs: 5_000, timeoutMs: 2_000 },
] as const;

export default class TimeoutChange extends Fault {
  override readonly name: string;

  readonly #periodMs: number;

  constructor(periodMs: number) {
    super();
    this.#periodMs = periodMs;
    this.name = `time-out change every ${periodMs} ms`;
  }

  override inject(world: SoakWorld): () => Promise<void> {
    const stop = new AbortController();
    const changes = this.#write(world, stop.signal);
    return async () => {
      stop.abort();
      await changes;
      world.restoreTimeouts();
    };
  }

  async #write(world: SoakWorld, signal: AbortSignal): Promise<void> {
    for (let count = 0; !signal.aborted; count += 1) {
      world.writeConfiguration(STEPS[count % STEPS.length]);
      await sleep(this.#periodMs);
    }
  }
}
