/** The time source of every decision and task. Times are monotonic milliseconds since an arbitrary start. */
abstract class Clock {
  abstract nowMs(): number;

  /** The time of day in Unix milliseconds. It may jump, so it is used only for rough ages. */
  abstract unixMs(): number;

  /** Resolves after `delayMs`, or as soon as the signal aborts; never rejects. */
  abstract sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}

export default Clock;
