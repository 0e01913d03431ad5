/** A request that a caller has begun to send and that has not been answered yet. */
interface OpenRequest {
  readonly id: string;
  readonly arrivedAtMs: number;
  /** What it waits for, and where. */
  readonly describe: () => { readonly phase: string; readonly instance: string | undefined };
  /** Ends it with an answer of the node's own, if no answer has begun. */
  readonly end: (reason: string) => void;
}

export default OpenRequest;
