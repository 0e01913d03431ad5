/** Finds why an answer must not be relayed; undefined when it belongs to the request and is signed. */
import type AttemptFailure from '../endpoints/AttemptFailure.js';
import type EndpointAnswer from '../instances/EndpointAnswer.js';
import type AnswerMetadata from './AnswerMetadata.js';
import assessRefusal from './assessRefusal.js';

const STATUS_OK = 200;

export default function findAnswerFault(
  requestId: string,
  metadata: AnswerMetadata,
  { status, isFirst }: Pick<EndpointAnswer, 'status' | 'isFirst'>,
  hasBegun: boolean,
): AttemptFailure | undefined {
  const refusal = assessRefusal(metadata, requestId, isFirst);
  if (refusal === 'not_run') {
    return {
      kind: 'rejected',
      detail: `the endpoint declined the request with status ${status}`,
    };
  }
  if (metadata.requestId !== undefined && metadata.requestId !== requestId) {
    return { kind: 'broken', detail: `the answer belongs to request ${metadata.requestId}` };
  }
  if (refusal !== undefined) {
    return { kind: 'broken', detail: 'a refusal without a request id on a reused connection' };
  }
  if (!metadata.isSigned) {
    return { kind: 'broken', detail: `the answer is not signed; its status is ${status}` };
  }
  if (hasBegun && status !== STATUS_OK) {
    return {
      kind: 'broken',
      detail: `the stream was not resumed: the endpoint answered with status ${status}`,
    };
  }
  return undefined;
}
