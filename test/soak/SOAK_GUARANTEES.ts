/** The guarantees that the soak checks, as documented for users. */
const SOAK_GUARANTEES = {
  /** How long after its route's time-out a request may still receive its final answer. */
  answerSlackMs: 500,
  /** How long an endpoint may still receive requests after it has reported that it is leaving. */
  leavingMs: 3_000,
  /** How long the parts that a time bound applies to must have been undisturbed before it is checked. */
  contactMs: 4_000,
  /** How long after it was sent a connection may still end under a request that no replica received. */
  lossSlackMs: 200,
  /** Crashes by a part of a prompt after which, with `contactMs` more, requests with it must be kept from replicas. */
  maxCrashes: 5,
  /** Requests with such a part that may still reach replicas after that. */
  maxDeadlyRequests: 3,
  /** Minimum ratio of streams that begin beside such a part to those that begin without a disturbance. */
  soundShare: 0.5,
  /** Number of requests of each from which that ratio is computed. */
  minSoundRequests: 20,
  /** Time after the last fault within which the system must have recovered. */
  recoverMs: 12_000,
  /** Minimum share of requests served successfully after recovery. */
  recoveredShare: 0.95,
} as const;

export default SOAK_GUARANTEES;
