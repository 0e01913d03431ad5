/** An estimate of one endpoint's pace from the recent samples of one measure. */
import type PaceSample from './PaceSample.js';

/** The endpoints in use give no more samples in eight seconds. */
const MAX_SAMPLES = 64;

abstract class PaceEstimate {
  #samples: readonly PaceSample[] = [];

  record(value: number, nowMs: number): void {
    this.#samples = [...this.#samples.slice(1 - MAX_SAMPLES), { value, atMs: nowMs }];
  }

  get last(): PaceSample | undefined {
    return this.#samples.at(-1);
  }

  /** The recent samples, the earliest first. */
  protected get samples(): readonly PaceSample[] {
    return this.#samples;
  }

  /** The current estimate; undefined without enough recent samples. */
  abstract read(nowMs: number): number | undefined;

  /** The estimate without a passing change; undefined without enough samples. */
  abstract readSettled(nowMs: number): number | undefined;
}

export default PaceEstimate;
