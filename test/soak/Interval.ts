/** A time interval on the monotonic clock of the soak's process (`performance.now()`), in milliseconds. */
interface Interval {
  readonly fromMs: number;
  readonly untilMs: number;
}

export default Interval;
