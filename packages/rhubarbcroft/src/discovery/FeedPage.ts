/**
 * The rows of a watched table, all of them or those that changed after a version, and the version of the table
 * that they reflect.
 */
interface FeedRow<Value> {
  readonly key: string;
  readonly version: number;
  /** Undefined when the row was removed or cannot be read. */
  readonly value: Value | undefined;
}

interface FeedPage<Value> {
  /** The version of the table. */
  readonly version: number;
  readonly rows: readonly FeedRow<Value>[];
}

export default FeedPage;
