/** A request that a replica began to work on. */
interface RunRecord {
  readonly requestId: string;
  readonly replicaId: string;
  readonly path: string;
  readonly atMs: number;
  /** Whether a header that only the system may set came through from the caller. */
  readonly wasSmuggled: boolean;
}

export default RunRecord;
