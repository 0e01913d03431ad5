/**
 * Decides when the counts of a usage window are fixed. Answers the load of a large fleet under faults: nodes that are
 * slow, cut off or just killed must not hold the report back until it is late, and the nodes first have to find a new
 * holder.
 */
interface WindowState {
  /** Time since the end of the window. */
  readonly endedMs: number;
  /** Time after the end of the window within which its report is due. */
  readonly lateMs: number;
  /** Nodes that this node has heard of and whose final counts are missing. */
  readonly missing: number;
  /** Known nodes that this node has not heard of; they may be down for good. */
  readonly unheard: number;
  /** How long this node has been the holder. */
  readonly heldMs: number;
}

/** The tallies of a window's end arrive in this time from all regions. */
const MIN_WAIT_MS = 300;
/** Three tries of a node to reach the holder, with time for a takeover and its report before the report is due. */
const MAX_WAIT_MS = 2_500;
/** Time in which all nodes find a new holder, one that was cut off or is overloaded included. */
const SETTLE_MS = 3_000;
/** Time for fixing the counts and reporting them, with a retry of each. */
const REPORT_MS = 2_000;

export default function isWindowDue({
  endedMs,
  lateMs,
  missing,
  unheard,
  heldMs,
}: WindowState): boolean {
  const isSettled = heldMs >= SETTLE_MS;
  const isComplete = missing === 0 && (isSettled || unheard === 0);
  const mustEnd = isSettled || endedMs >= lateMs - REPORT_MS;
  return endedMs >= MIN_WAIT_MS && (isComplete || (endedMs >= MAX_WAIT_MS && mustEnd));
}
