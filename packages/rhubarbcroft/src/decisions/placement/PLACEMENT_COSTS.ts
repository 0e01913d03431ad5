/** The cost factors of prompt placement, in milliseconds of wait. */
const PLACEMENT_COSTS = {
  /** Round-trip time between regions, as specified for the deployment. */
  crossRegionMs: 60,
  /** Round-trip time between failure domains of a region, as specified for the deployment. */
  crossDomainMs: 2,
  /** The specified price of a kilobyte over a paid link, converted by the price of prefill engine time. */
  paidLinkMsPerKb: 1.6,
  /**
   * The specified price of a shared token that is prefilled again although another engine has it cached,
   * converted by the price of prefill engine time.
   */
  recomputeMsPerToken: 0.016,
  /** Set-up time of one KV transfer, as specified for the deployment. */
  transferSetupMs: 3,
  /** The specified price of a token's KV transfer inside a failure domain. */
  transferMsPerToken: 0.001,
  /** The fewest tokens worth a copy: fewer are prefilled in less time than a copy from another region takes. */
  minCopyTokens: 1_000,
  /** The second call of a prompt that is prefilled and decoded on different engines, and its answer. */
  decodeCallMs: 5,
  /** The time of one decode step, and what each running request adds to it, as specified for the deployment. */
  stepMs: 5,
  stepMsPerRequest: 0.1,
  /** The weight of the time that a prefill takes longer on its engine than on the usual one. */
  paceWeight: 0.25,
  /** The weight of a millisecond of decode time against a millisecond of time to first token. */
  generationWeight: 0.5,
  /** The weight of a millisecond of delay for each stream that runs on the engine during a long prefill. */
  streamDelayWeight: 1,
  /** A pause that makes a stream late: the shortest that a route allows between two events. */
  longPauseMs: 200,
  /**
   * The cost added for an engine without a free slot, and, multiplied by an engine's share of recent requests
   * that failed, for the risk of a failure: about one target latency.
   */
  failureMs: 800,
} as const;

export default PLACEMENT_COSTS;
