/** How much of a prompt's prefix an endpoint is estimated to have cached. */
interface CachedPrefix {
  /** The estimated number of cached blocks of the prompt; not a whole number where the cache is only assumed. */
  readonly blocks: number;
  /** Whether this node knows of the cached prefix, rather than assuming it from the prefix's owner. */
  readonly seen: boolean;
}

export default CachedPrefix;
