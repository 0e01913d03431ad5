/** A request that a replica started to execute. */
interface RunRecord {
  readonly requestId: string;
  readonly replicaId: string;
  readonly path: string;
  readonly atMs: number;
  /** Whether the replica received a header that the caller set although only the system may set it. */
  readonly hasForgedHeader: boolean;
}

export default RunRecord;
