/** Time limits of the calls that follow a table of the store. */
interface FeedTiming {
  /**
   * Longest time from one answer of a feed until a silent connection is detected. The table can be listed in what
   * remains until the node counts as in contact with the store.
   */
  readonly detectMs: number;
  /** Time allowed for an answer beyond the time for which the store holds the call. */
  readonly answerMs: number;
  /** Least time between two waits, so that during a burst one call returns many changes. */
  readonly spacingMs: number;
}

export default FeedTiming;
