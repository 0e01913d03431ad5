/** Evidence that a request may have crashed an endpoint: the endpoint crashed while the request ran on it. */
interface CrashEvidence {
  readonly fingerprint: string;
  readonly endpointId: string;
  readonly bootId: string;
  /** Whether the request was the only suspect of the crash. */
  readonly alone: boolean;
  readonly atMs: number;
}

export default CrashEvidence;
