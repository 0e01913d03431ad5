/** Adds a running attempt to the progress of its request: it counts as one that may run the request. */
import type ForwardProgress from './ForwardProgress.js';
import type Placement from './Placement.js';

export default function recordAttemptBegin(
  progress: ForwardProgress,
  { target }: Placement,
): ForwardProgress {
  return {
    ...progress,
    runs: progress.runs + 1,
    sends: progress.sends + 1,
    triedIds: new Set([...progress.triedIds, target.instance.id]),
  };
}
