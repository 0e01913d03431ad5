/**
 * Decides what a refusal proves. Endpoints repeat the request's id in their answers, and a faulty one may write a
 * refusal of another request, or an earlier one once more. Only a refusal with this request's id proves that it has
 * not run; one without an id proves it only as the first answer on its connection, where no earlier one can recur.
 */
import type RunState from '@rhubarbcroft/protocol/results/RunState';
import type AnswerMetadata from './AnswerMetadata.js';

/** Returns undefined when the answer is no refusal. */
export default function assessRefusal(
  { isDeclined, requestId }: AnswerMetadata,
  expectedId: string,
  isFirstAnswer: boolean,
): RunState | undefined {
  if (!isDeclined) {
    return undefined;
  }
  const isOwn = requestId === undefined ? isFirstAnswer : requestId === expectedId;
  return isOwn ? 'not_run' : 'unknown';
}
