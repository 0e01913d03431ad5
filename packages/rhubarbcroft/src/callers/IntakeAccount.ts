/**
 * The account of the bytes that a process holds for callers: bodies while they arrive, wait and run, and answers until
 * they are taken. What does not fit is refused, or another request gives way.
 */
import type Logger from 'bunyan';
import type IntakeLimits from '../decisions/intake/IntakeLimits.js';
import chooseShed from '../decisions/intake/chooseShed.js';
import type Clock from '../supervision/Clock.js';
import type Metrics from '../telemetry/Metrics.js';
import type Holding from './Holding.js';

interface IntakeAccountOptions {
  readonly limits: IntakeLimits;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
}

const LINE_PERIOD_MS = 1_000;

export default class IntakeAccount {
  readonly #options: IntakeAccountOptions;

  readonly #holdings = new Set<Holding>();

  #heldBytes = 0;

  #shedCount = 0;

  #refusedCount = 0;

  #lastLineMs = -Infinity;

  constructor(options: IntakeAccountOptions) {
    this.#options = options;
  }

  get nowMs(): number {
    return this.#options.clock.nowMs();
  }

  /** Makes room for more bytes of a request. Returns false when that request has to be refused. */
  reserve(holding: Holding, bytes: number): boolean {
    const { maxHeldBytes, reservedBytes, smallBytes } = this.#options.limits;
    const neededBytes = holding.heldBytes + bytes;
    const limitBytes = neededBytes > smallBytes ? maxHeldBytes - reservedBytes : maxHeldBytes;
    while (this.#heldBytes + bytes > limitBytes) {
      const others = [...this.#holdings].filter((other) => other !== holding);
      const shed = chooseShed(others, neededBytes, this.nowMs);
      if (shed === undefined) {
        this.#refusedCount += 1;
        this.#report('refused');
        return false;
      }
      this.#shedCount += 1;
      shed.shed();
      this.#report(shed.phase);
    }
    this.#holdings.add(holding);
    this.#change(bytes);
    return true;
  }

  /** Takes a request's bytes off the account. */
  release(holding: Holding, bytes: number): void {
    if (this.#holdings.delete(holding)) {
      this.#change(-bytes);
    }
  }

  #change(bytes: number): void {
    this.#heldBytes += bytes;
    this.#options.metrics.gauge('intake_held_bytes', this.#heldBytes);
  }

  #report(cause: string): void {
    const { log, metrics, limits } = this.#options;
    metrics.increment('intake_refused', { cause });
    if (this.nowMs - this.#lastLineMs >= LINE_PERIOD_MS) {
      log.warn(
        {
          heldBytes: this.#heldBytes,
          maxHeldBytes: limits.maxHeldBytes,
          shedCount: this.#shedCount,
          refusedCount: this.#refusedCount,
        },
        'requests refused: the process holds as many bytes for callers as its limit allows',
      );
      this.#lastLineMs = this.nowMs;
      this.#shedCount = 0;
      this.#refusedCount = 0;
    }
  }
}
