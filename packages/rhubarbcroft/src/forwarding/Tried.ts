/** What a request has been through before its next attempt. */
interface Tried {
  /** The instances at which it has failed. */
  readonly failedIds: ReadonlySet<string>;
  /** Sends so far, counting those that were declined. */
  readonly sends: number;
}

export default Tried;
