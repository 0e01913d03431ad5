/** How a request that was answered has ended. */
import type BufferedAnswer from './BufferedAnswer.js';

interface ForwardResult {
  /** The buffered answer to send to the caller; undefined when the stream has been relayed. */
  readonly answer: BufferedAnswer | undefined;
  readonly sends: number;
  readonly instanceId: string;
}

export default ForwardResult;
