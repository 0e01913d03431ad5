/**
 * An attempt in progress. It may begin beside the attempt that it is to follow; it then waits at the head of its answer
 * until it leads.
 */
import type AttemptGate from './AttemptGate.js';
import type AttemptResult from './AttemptResult.js';
import type HandOver from './HandOver.js';
import type Placement from './Placement.js';

interface AttemptRunOptions {
  readonly placement: Placement;
  /** Starts the attempt that follows this one when this one is silent. */
  readonly handOver: HandOver;
  readonly run: (gate: AttemptGate, cancelled: AbortSignal) => Promise<AttemptResult>;
}

export default class AttemptRun {
  readonly placement: Placement;

  readonly handOver: HandOver;

  readonly result: Promise<AttemptResult>;

  /** Whether the endpoint accepted the request; false when the attempt ended without that. */
  readonly accepted: Promise<boolean>;

  readonly #cancelled = new AbortController();

  #openGate: () => void = () => undefined;

  #isLeading = false;

  constructor({ placement, handOver, run }: AttemptRunOptions) {
    this.placement = placement;
    this.handOver = handOver;
    const turn = new Promise<void>((resolve) => {
      this.#openGate = resolve;
    });
    let accept: () => void = () => undefined;
    const acceptance = new Promise<boolean>((resolve) => {
      accept = () => resolve(true);
    });
    this.result = run({ accept, turn }, this.#cancelled.signal);
    const ended = this.result.then(
      () => false,
      // Whoever awaits the result handles its error.
      () => false,
    );
    this.accepted = Promise.race([acceptance, ended]);
  }

  /** Whether this is the attempt whose answer is relayed. */
  get isLeading(): boolean {
    return this.#isLeading;
  }

  get isCancelled(): boolean {
    return this.#cancelled.signal.aborted;
  }

  /** Lets the attempt use the relay. No other attempt may use it any more. */
  lead(): void {
    this.#isLeading = true;
    this.#openGate();
  }

  cancel(reason: string): void {
    this.#cancelled.abort(new Error(reason));
    this.#openGate();
  }
}
