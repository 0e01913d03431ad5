/** The earlier attempts of a request, as far as they matter for the next placement. */
interface AttemptHistory {
  /** The ids of the instances that were already tried. */
  readonly triedIds: ReadonlySet<string>;
  /** Number of dispatches so far, including those that endpoints declined. */
  readonly sends: number;
}

export default AttemptHistory;
