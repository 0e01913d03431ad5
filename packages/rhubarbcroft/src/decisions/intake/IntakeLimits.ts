/** What a process may hold for callers and for the answers to them. */
interface IntakeLimits {
  /** Bytes of bodies and answers of all requests together. */
  readonly maxHeldBytes: number;
  /** The part of `maxHeldBytes` that only requests of at most `smallBytes` may use. */
  readonly reservedBytes: number;
  readonly smallBytes: number;
}

export default IntakeLimits;
