/** The guarantees that the soak checks, as documented for users. */
const SOAK_GUARANTEES = {
  /** Request time-out of the routes that the soak configures. */
  routeTimeoutMs: 2_000,
  /** How long after the route's time-out a request may still receive its final answer. */
  answerSlackMs: 500,
  /** How long an endpoint may still receive requests after it has reported that it is leaving. */
  leavingMs: 3_000,
  /** How long the store and the nodes must have been undisturbed before `leavingMs` is checked. */
  contactMs: 4_000,
  /** Time after the last fault within which the system must have recovered. */
  recoverMs: 12_000,
  /** Minimum share of requests served successfully after recovery. */
  recoveredShare: 0.95,
} as const;

export default SOAK_GUARANTEES;
