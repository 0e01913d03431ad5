/**
 * Why an attempt at an endpoint failed.
 *
 * - `unsent`: no part of the request was sent to the endpoint.
 * - `rejected`: the endpoint reported that it did not start the request.
 * - `invalid`: the endpoint refused the request itself; other endpoints would refuse it too.
 * - `broken`: the connection ended, or the answer was malformed or too large.
 * - `silent`: the connection made no progress until a time-out.
 * - `moved`: this node ended the attempt to resume it on another endpoint, because this one is leaving.
 */
interface AttemptFailure {
  readonly kind: 'unsent' | 'rejected' | 'invalid' | 'broken' | 'silent' | 'moved';
  /** The cause, as text for people. */
  readonly detail: string;
}

export default AttemptFailure;
