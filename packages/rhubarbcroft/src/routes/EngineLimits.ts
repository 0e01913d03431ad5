/** What the operator says of the engines of a service. */
interface EngineLimits {
  readonly kvCapacityTokens: number;
  readonly kvBytesPerToken: number;
  readonly linkMbps: number;
}

export default EngineLimits;
