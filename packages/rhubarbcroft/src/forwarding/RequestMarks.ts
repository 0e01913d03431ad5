/** What the headers of a request say to the system. */
import type Prompt from '../decisions/placement/Prompt.js';

interface RequestMarks {
  readonly requestId: string | undefined;
  /** How long the caller will wait, counted from the first byte of its request. */
  readonly deadlineMs: number | undefined;
  /** The last event that the caller has of a stream that it resumes. */
  readonly lastEventId: string | undefined;
  readonly prompt: Omit<Prompt, 'bodyBytes'> | undefined;
}

export default RequestMarks;
