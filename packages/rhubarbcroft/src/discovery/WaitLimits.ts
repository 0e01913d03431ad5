/** Time limits of one wait for changes. */
interface WaitLimits {
  /** How long the store holds the call open while nothing changes. */
  readonly holdMs: number;
  /** When the call counts as lost, from its start. */
  readonly timeoutMs: number;
}

export default WaitLimits;
