/** Metadata that the protocol reads from the headers of a caller's request. */
import type Prompt from '../decisions/placement/Prompt.js';

interface RequestMetadata {
  /** Undefined when the request has no valid id. */
  readonly requestId: string | undefined;
  /** The key of the caller's account; undefined when it sent none. */
  readonly apiKey?: string | undefined;
  /** How long the caller waits for the answer, counted from the first byte of its request. */
  readonly deadlineMs: number | undefined;
  /** The id of the last event that the caller received of a stream that it resumes. */
  readonly lastEventId: string | undefined;
  /** The prompt that the headers describe; undefined when they describe none. */
  readonly prompt: Omit<Prompt, 'bodyBytes'> | undefined;
}

export default RequestMetadata;
