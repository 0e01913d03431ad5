/** What the placement of prompts reckons with, in milliseconds of expected wait. */
const PLACEMENT_COSTS = {
  /** One way between regions on the users' sheet, there and back, for a send. */
  elsewhereMs: 60,
  /** One way between failure domains of a region on the users' sheet, there and back. */
  regionMs: 2,
  /**
   * What a kilobyte over a paid link is worth in waiting, and a shared token that is read again although
   * another engine holds it: the users' prices of both, put against the time of a prefill engine.
   */
  paidLinkMsPerKb: 1.6,
  rereadMsPerToken: 0.016,
  /** Set-up of one transfer of KV cache, on the users' sheet. */
  transferSetupMs: 3,
  /** What moving the KV cache of a token inside a failure domain is worth in waiting, by the users' price. */
  transferMsPerToken: 0.001,
  /** Fewer tokens than this are prefilled in less time than a copy takes from another region. */
  copyMinTokens: 1_000,
  /** A hand-over's second call and its answer. */
  handOverMs: 5,
  /** The time of one step of an engine, and what each running request adds to it, as on the users' sheet. */
  stepMs: 5,
  stepMsPerRequest: 0.15,
  /** What a millisecond of an answer's later tokens counts for beside one of its first token. */
  generationWeight: 0.2,
  /** What a millisecond of delay counts for to each stream that runs beside a prefill. */
  bystanderWeight: 0.05,
  /** What a certain failure would cost: about a target latency. */
  failureMs: 800,
} as const;

export default PLACEMENT_COSTS;
