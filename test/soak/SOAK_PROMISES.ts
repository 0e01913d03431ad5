/** The bounds that the soak holds the system to, from the pages of its users. */
const SOAK_PROMISES = {
  /** What the routes of the soak allow a request. */
  routeTimeoutMs: 2_000,
  /** By when after its route's time a request has its final answer. */
  answerSlackMs: 500,
  /** By when an endpoint that leaves gets nothing more. */
  leavingMs: 3_000,
  /** How long a node must have been undisturbed to be held to bounds of time. */
  contactMs: 4_000,
  /** From the last fault on until the system serves as before. */
  recoverMs: 12_000,
  /** The share of requests that is served once it has recovered. */
  recoveredShare: 0.95,
} as const;

export default SOAK_PROMISES;
