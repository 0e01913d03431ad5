/** What the headers of an endpoint's answer say to the system. */
import type InstanceLoad from '../instances/InstanceLoad.js';

interface AnswerMarks {
  /** The id of the request that the answer belongs to; undefined when the endpoint did not say. */
  readonly requestId: string | undefined;
  /** Whether the answer bears the endpoint's signature. */
  readonly isSigned: boolean;
  /** Whether the endpoint says that it did not run the request and never will. */
  readonly isDeclined: boolean;
  readonly load: InstanceLoad | undefined;
}

export default AnswerMarks;
