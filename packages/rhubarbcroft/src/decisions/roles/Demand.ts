/** The load that callers offer to a group of engines, in tokens per second. */
interface Demand {
  readonly promptTokensPerS: number;
  readonly outputTokensPerS: number;
}

export default Demand;
