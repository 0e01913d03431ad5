/** Capacity figures of a service's engines, as declared by the operator. */
interface EngineLimits {
  /** Capacity of an engine's KV cache. */
  readonly kvCapacityTokens: number;
  readonly kvBytesPerToken: number;
  /** Network bandwidth of an engine, in megabits per second. */
  readonly linkMbps: number;
}

export default EngineLimits;
