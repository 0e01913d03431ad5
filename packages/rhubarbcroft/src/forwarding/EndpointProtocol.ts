/** The headers and paths by which callers, the system and endpoints understand each other. */
import type { IncomingHttpHeaders } from 'node:http';
import type Result from 'true-myth/result';
import type AttemptFailure from '../endpoints/AttemptFailure.js';
import type EndpointCall from '../instances/EndpointCall.js';
import type Instance from '../instances/Instance.js';
import type StageOrder from '../stages/StageOrder.js';
import type AnswerMarks from './AnswerMarks.js';
import type RequestMarks from './RequestMarks.js';
import type SendInstructions from './SendInstructions.js';

abstract class EndpointProtocol {
  abstract readRequest(headers: IncomingHttpHeaders): RequestMarks;

  /**
   * The headers for an endpoint: those of the caller, without those that concern its connection or are the
   * system's to set, and the system's own. Names and values in turn.
   */
  abstract writeRequest(
    rawHeaders: readonly string[],
    instructions: SendInstructions,
  ): readonly string[];

  abstract readAnswer(status: number, rawHeaders: readonly string[]): AnswerMarks;

  /** The handle in the answer to a prefill. */
  abstract readPrefillHandle(body: Buffer): Result<string, AttemptFailure>;

  /** The call that orders an engine to another stage. */
  abstract writeStageOrder(instance: Instance, order: StageOrder): EndpointCall;

  /** The path to which a DELETE frees the KV cache of a prefill. */
  abstract writeReleasePath(handle: string): string;
}

export default EndpointProtocol;
