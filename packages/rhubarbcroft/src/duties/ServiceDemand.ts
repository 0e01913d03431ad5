/** The demand for a service at one node, counted since the start of its process. */
interface ServiceDemand {
  readonly service: string;
  readonly requests: number;
  /** Prompt tokens that were expected to be prefilled, without those expected to be cached. */
  readonly prefillTokens: number;
  /** Tokens that the requests are expected to keep in an engine's memory. */
  readonly memoryTokens: number;
  readonly outputTokens: number;
  readonly refused: number;
}

export default ServiceDemand;
