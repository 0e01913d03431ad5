/**
 * Creates a failure. `ran` defaults to `not_run`, so code that runs after the dispatch must pass it
 * explicitly.
 */
import type Failure from './Failure.js';
import type ResultCodeName from './ResultCodeName.js';
import type RunState from './RunState.js';

export default function createFailure(
  code: ResultCodeName,
  detail: string,
  ran: RunState = 'not_run',
  retryAfterMs?: number,
): Failure {
  return retryAfterMs === undefined ? { code, detail, ran } : { code, detail, ran, retryAfterMs };
}
