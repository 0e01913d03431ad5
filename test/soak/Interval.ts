/** A span of the soak's own steady clock, in milliseconds. */
interface Interval {
  readonly fromMs: number;
  readonly untilMs: number;
}

export default Interval;
