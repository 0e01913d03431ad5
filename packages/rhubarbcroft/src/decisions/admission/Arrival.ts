/** A request at its arrival, with the estimates of its placement. */
interface Arrival {
  readonly id: string;
  readonly route: string;
  readonly service: string;
  /** Undefined when the request belongs to no client account. */
  readonly account: string | undefined;
  /** Estimated work of the engine for the request. */
  readonly costMs: number;
  /** Estimated time until the prefill begins. */
  readonly waitMs: number;
  /** Estimated time to the first token. */
  readonly expectedMs: number;
  /** Time that the caller still waits. */
  readonly remainingMs: number;
}

export default Arrival;
