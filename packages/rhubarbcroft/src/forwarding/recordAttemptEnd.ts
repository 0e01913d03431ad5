/** Adds an attempt that has ended to the progress of its request. */
import type EndedAttempt from './EndedAttempt.js';
import type ForwardProgress from './ForwardProgress.js';
import recordAttemptBegin from './recordAttemptBegin.js';

export default function recordAttemptEnd(
  progress: ForwardProgress,
  { placement, result }: EndedAttempt,
): ForwardProgress {
  const mayHaveRun = result.type !== 'failed' || result.ran !== 'not_run';
  const begun = recordAttemptBegin(progress, placement);
  return {
    ...begun,
    runs: mayHaveRun ? begun.runs : progress.runs,
    ran: mayHaveRun ? 'unknown' : progress.ran,
    last: result,
    held: result.type === 'held' ? result.answer : progress.held,
  };
}
