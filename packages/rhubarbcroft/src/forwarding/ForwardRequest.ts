/** A caller's request, read completely and matched to a route. Times are milliseconds of the node's clock. */
import type Prompt from '../decisions/placement/Prompt.js';
import type Route from '../routes/Route.js';

interface ForwardRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly path: string;
  /** Alternating names and values, as the caller sent them; without the key where the configuration has accounts. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | undefined;
  readonly route: Route;
  /** The client account whose key the caller sent; undefined when the route needs none. */
  readonly account?: string | undefined;
  /** Priority, 0 the most urgent: that of the account if it has one, else that of the route. */
  readonly rank: number;
  /** The service, among the route's destinations, that was chosen for this request. */
  readonly service: string;
  /** Undefined when the request goes to a plain service or its headers do not describe a prompt. */
  readonly prompt: Prompt | undefined;
  /** The id of the last event that the caller received of a stream that it resumes. */
  readonly lastEventId: string | undefined;
  readonly arrivedAtMs: number;
  /** The earlier of the caller's deadline and the route's timeout. */
  readonly expiresAtMs: number;
  /** Whether the request may be retried after an attempt that may have run it. */
  readonly isRepeatable: boolean;
}

export default ForwardRequest;
