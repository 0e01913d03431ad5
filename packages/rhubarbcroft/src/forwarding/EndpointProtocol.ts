/** Encoding and decoding of the headers and paths shared by callers, forwarding nodes and endpoints. */
import type { IncomingHttpHeaders } from 'node:http';
import type Result from 'true-myth/result';
import type AttemptFailure from '../endpoints/AttemptFailure.js';
import type EndpointCall from '../instances/EndpointCall.js';
import type Instance from '../instances/Instance.js';
import type StageOrder from '../stages/StageOrder.js';
import type AnswerMetadata from './AnswerMetadata.js';
import type RequestMetadata from './RequestMetadata.js';
import type DispatchMetadata from './DispatchMetadata.js';

abstract class EndpointProtocol {
  /** Decodes the headers of a caller's request. */
  abstract parseRequestHeaders(headers: IncomingHttpHeaders): RequestMetadata;

  /**
   * Removes what only the system may set where the configuration has accounts: the caller's key, which must not leave
   * this machine, and the name of an account. `rawHeaders` alternates names and values, as does the result.
   */
  abstract removeAccountHeaders(rawHeaders: readonly string[]): readonly string[];

  /**
   * Builds the headers for an endpoint, as alternating names and values: the caller's headers, except those of
   * its connection and those that only the system may set, followed by the system's own headers.
   */
  abstract buildRequestHeaders(
    rawHeaders: readonly string[],
    metadata: DispatchMetadata,
  ): readonly string[];

  /** Decodes the status and headers of an endpoint's answer; `rawHeaders` alternates names and values. */
  abstract parseAnswerHead(status: number, rawHeaders: readonly string[]): AnswerMetadata;

  /** The KV cache handle in the answer to a prefill, or the failure when the body has none. */
  abstract parsePrefillHandle(body: Buffer): Result<string, AttemptFailure>;

  /** Builds the call that orders an engine to change its stage. */
  abstract buildStageOrderCall(instance: Instance, order: StageOrder): EndpointCall;

  /** The path at which a DELETE request frees the KV cache of a prefill. */
  abstract buildReleasePath(handle: string): string;
}

export default EndpointProtocol;
