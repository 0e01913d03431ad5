/** Decides what the caller of a request gets when no further attempt follows. */
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type ForwardProgress from './ForwardProgress.js';
import type ForwardResult from './ForwardResult.js';
import type Placement from './Placement.js';

/** Retry-After of a request that no endpoint has run. */
const RETRY_AFTER_MS = 300;

export default function concludeRequest(
  { last, held, sends, ran }: ForwardProgress,
  placement: Placement | undefined,
  signal: AbortSignal,
): Result<ForwardResult, Failure> {
  const instanceId = placement?.target.instance.id ?? '';
  if (last?.type === 'streamed') {
    return ok({ answer: undefined, sends, instanceId });
  }
  if (held !== undefined) {
    return ok({ answer: held, sends, instanceId });
  }
  if (last === undefined || last.type === 'held') {
    return err(
      createFailure(
        'NO_ENDPOINT',
        'no endpoint of the service is available',
        'not_run',
        RETRY_AFTER_MS,
      ),
    );
  }
  const { detail } = last.failure;
  if (ran === 'not_run') {
    return err(createFailure('NO_ENDPOINT', detail, 'not_run', RETRY_AFTER_MS));
  }
  const code = signal.aborted ? 'DEADLINE_EXCEEDED' : 'ENDPOINT_FAILED';
  return err(createFailure(code, detail, 'unknown'));
}
