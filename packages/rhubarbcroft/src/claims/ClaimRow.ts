/** The value of a claim's row in the table service. */
interface ClaimRow {
  readonly state: 'claimed' | 'released' | 'answered' | 'abandoned';
  /** The keyed hash of the request, which detects the reuse of an idempotency key for another request. */
  readonly fingerprint: string;
  /** The process that wrote the row, as `nodeId/incarnation`. */
  readonly holder: string;
  readonly answer?: {
    readonly status: number;
    readonly contentType: string;
    /** Base64; absent when the answer was too large for the row. */
    readonly body?: string;
    /**
     * The key of the answer's object; absent when the answer is in the row or the object could not be
     * stored.
     */
    readonly objectKey?: string;
  };
}

export default ClaimRow;
