/** A claim that this process holds: the right to run one request once. */
interface Claim {
  readonly key: string;
  readonly fingerprint: string;
  /** The version of the claim's row after it was granted; updates of the row are conditional on it. */
  readonly version: number;
}

export default Claim;
