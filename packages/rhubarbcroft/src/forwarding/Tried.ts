/** The earlier attempts of a request, as far as they matter for the next placement. */
interface Tried {
  /** The ids of the instances that were already tried. */
  readonly failedIds: ReadonlySet<string>;
  /** Number of dispatches so far, including those that endpoints declined. */
  readonly sends: number;
}

export default Tried;
