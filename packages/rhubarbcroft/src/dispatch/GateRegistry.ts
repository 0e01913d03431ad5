/**
 * Creates the dispatch gate of each group on demand. While any gate has queued requests, all gates dispatch
 * periodically, because deadlines, load reports and the warm-up of endpoints change over time without an event.
 * A group is a model or service with a placement selector.
 */
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';
import Wakeup from '../supervision/Wakeup.js';
import type DispatchGate from './DispatchGate.js';

const DISPATCH_PERIOD_MS = 20;
/** Gates with an empty queue are removed when there are this many. */
const MAX_GATES = 1_024;

type CreateGate = (group: string) => DispatchGate;

export default class GateRegistry extends Task {
  override readonly name = 'gate-keeper';

  readonly #clock: Clock;

  readonly #wakeup = new Wakeup();

  readonly #gates = new Map<string, DispatchGate>();

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  /** Starts the periodic dispatch; called by a gate that has queued requests. */
  notifyWaiting(): void {
    this.#wakeup.notify();
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#wakeup.wait(signal);
      while (this.#hasQueuedRequests() && !signal.aborted) {
        await this.#clock.sleep(DISPATCH_PERIOD_MS, signal);
        this.#gates.forEach((gate) => gate.dispatchWaiting());
      }
    }
  }

  /** Returns the gate of a group, which is created on first use. */
  resolve(group: string, createGate: CreateGate): DispatchGate {
    const existing = this.#gates.get(group);
    if (existing !== undefined) {
      return existing;
    }
    this.#removeIdle();
    const gate = createGate(group);
    this.#gates.set(group, gate);
    return gate;
  }

  override dumpState(): unknown {
    return Object.fromEntries(
      [...this.#gates].map(([group, gate]) => [
        group.replaceAll('\n', ' '),
        { waiting: gate.waiting },
      ]),
    );
  }

  #hasQueuedRequests(): boolean {
    return [...this.#gates.values()].some((gate) => gate.waiting > 0);
  }

  #removeIdle(): void {
    for (const [group, gate] of this.#gates) {
      if (this.#gates.size < MAX_GATES) {
        return;
      }
      if (gate.waiting === 0) {
        this.#gates.delete(group);
      }
    }
  }
}
