/** Encoding and decoding of the headers and paths shared by callers, forwarding nodes and endpoints. */
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
  /** Decodes the headers of a caller's request. */
  abstract readRequest(headers: IncomingHttpHeaders): RequestMarks;

  /**
   * Builds the headers for an endpoint, as alternating names and values: the caller's headers, except those of
   * its connection and those that only the system may set, followed by the system's own headers.
   */
  abstract writeRequest(
    rawHeaders: readonly string[],
    metadata: SendInstructions,
  ): readonly string[];

  /** Decodes the status and headers of an endpoint's answer; `rawHeaders` alternates names and values. */
  abstract readAnswer(status: number, rawHeaders: readonly string[]): AnswerMarks;

  /** The KV cache handle in the answer to a prefill, or the failure when the body has none. */
  abstract readPrefillHandle(body: Buffer): Result<string, AttemptFailure>;

  /** Builds the call that orders an engine to change its stage. */
  abstract writeStageOrder(instance: Instance, order: StageOrder): EndpointCall;

  /** The path at which a DELETE request frees the KV cache of a prefill. */
  abstract writeReleasePath(handle: string): string;
}

export default EndpointProtocol;
