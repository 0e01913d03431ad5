/** An exponentially decaying sum: each entry loses weight with the given time constant. */
export default class DecayingSum {
  readonly #timeConstantMs: number;

  #sum = 0;

  #updatedAtMs = 0;

  constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  add(amount: number, nowMs: number): void {
    this.#sum = this.read(nowMs) + amount;
    this.#updatedAtMs = nowMs;
  }

  read(nowMs: number): number {
    return this.#sum * Math.exp((this.#updatedAtMs - nowMs) / this.#timeConstantMs);
  }
}
