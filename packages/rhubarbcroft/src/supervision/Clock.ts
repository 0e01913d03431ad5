/** The time source of every decision and task. Times are monotonic milliseconds since an arbitrary start. */
abstract class Clock {
  abstract nowMs(): number;

  /** The time of day in Unix milliseconds. It may jump, so it only serves to tell roughly how old something is. */
  abstract unixMs(): number;

  /** Resolves after `delayMs`, or at once when the signal aborts; it never rejects. */
  abstract sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}

export default Clock;
