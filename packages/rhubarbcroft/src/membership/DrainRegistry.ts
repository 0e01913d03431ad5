/**
 * The drains that operators declared at an entry VM; the peers exchange them without the platform. A drain only
 * takes capacity away, so it is safe to apply before a fleet document contains it; it expires on its own.
 */
import type Clock from '../supervision/Clock.js';

/** The largest number of endpoints for which drains are kept, expired ones included. */
const MAX_DRAINS = 4_096;

interface Drain {
  readonly endpointId: string;
  /** The time until the drain expires. */
  readonly remainingMs: number;
  /** How long streams may continue at the endpoint before they are resumed at another. */
  readonly handoverAfterMs: number;
}

export default class DrainRegistry {
  readonly #clock: Clock;

  readonly #drains = new Map<
    string,
    { readonly untilMs: number; readonly handoverAfterMs: number }
  >();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records or extends a drain. Returns whether the endpoint was not draining before. */
  record(drain: Drain): boolean {
    const untilMs = this.#clock.nowMs() + drain.remainingMs;
    const knownUntilMs = this.#drains.get(drain.endpointId)?.untilMs ?? 0;
    if (knownUntilMs >= untilMs || this.#drains.size >= MAX_DRAINS) {
      return false;
    }
    this.#drains.set(drain.endpointId, { untilMs, handoverAfterMs: drain.handoverAfterMs });
    return knownUntilMs <= this.#clock.nowMs();
  }

  isDraining(endpointId: string): boolean {
    return (this.#drains.get(endpointId)?.untilMs ?? 0) > this.#clock.nowMs();
  }

  /** How long streams may continue at a draining endpoint; undefined when it is not draining. */
  getHandoverAfterMs(endpointId: string): number | undefined {
    return this.isDraining(endpointId) ? this.#drains.get(endpointId)?.handoverAfterMs : undefined;
  }

  /** The drains that have not expired. */
  list(): readonly Drain[] {
    const nowMs = this.#clock.nowMs();
    return [...this.#drains.entries()]
      .filter(([, drain]) => drain.untilMs > nowMs)
      .map(([endpointId, { untilMs, handoverAfterMs }]) => ({
        endpointId,
        remainingMs: untilMs - nowMs,
        handoverAfterMs,
      }));
  }
}
