/** Rows of a watched table: all of them, or those that changed after a version; up to which version they are true. */
interface FeedRow<Value> {
  readonly key: string;
  readonly version: number;
  /** Undefined when the row was removed or cannot be read. */
  readonly value: Value | undefined;
}

interface FeedPage<Value> {
  readonly version: number;
  readonly rows: readonly FeedRow<Value>[];
}

export default FeedPage;
