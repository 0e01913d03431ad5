/** Metadata that the protocol reads from the status and headers of an endpoint's answer. */
import type InstanceLoad from '../instances/InstanceLoad.js';

interface AnswerMetadata {
  /** The id of the request that the answer belongs to; undefined when the answer does not carry one. */
  readonly requestId: string | undefined;
  /** Whether the answer carries the endpoint's signature. */
  readonly isSigned: boolean;
  /** Whether the endpoint reports that it has not run the request and never will. */
  readonly isDeclined: boolean;
  /** The endpoint's load report; undefined when the answer carries none. */
  readonly load: InstanceLoad | undefined;
  /** Whether the endpoint announces that it is leaving, which it does in all its answers. */
  readonly isLeaving: boolean;
}

export default AnswerMetadata;
