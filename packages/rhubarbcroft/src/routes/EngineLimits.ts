/** What the operator says of the engines of a service. */
interface EngineLimits {
  readonly slots: number;
  readonly kvCapacityTokens: number;
  readonly kvBytesPerToken: number;
  readonly linkMbps: number;
  /** How long an engine keeps the KV cache of a finished prefill that nobody has fetched. */
  readonly handleTtlMs: number;
}

export default EngineLimits;
