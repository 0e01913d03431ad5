/** A connection, seen by the choice of the one that makes room for another. */
interface WaitingConnection {
  /** Whether it has a complete request whose answer has not ended. */
  readonly isServing: boolean;
  /** Since when it waits for its caller: to send a request or the rest of one, or to take its answer. */
  readonly sinceMs: number;
}

export default WaitingConnection;
