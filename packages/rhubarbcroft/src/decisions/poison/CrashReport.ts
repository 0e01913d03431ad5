/**
 * Evidence of one crash of an endpoint, as far as a node knows it. All lists only grow, so that reports of several
 * nodes are merged by union, in any order and any number of times; a report may carry only what is new.
 */
interface CrashReport {
  /** The run of the endpoint that ended, unique in the fleet. */
  readonly run: string;
  /** When the crash was first reported, in milliseconds of the clock of the node that holds the report. */
  readonly atMs: number;
  /** For each request that had produced nothing: the ids of the prompt parts that it shares, in order, and its key. */
  readonly prompts: readonly (readonly string[])[];
  /** Parts on which answers had begun before the crash was known. */
  readonly provenBefore: readonly string[];
  /** Parts on which an answer has begun since the crash. */
  readonly cleared: readonly string[];
}

export default CrashReport;
