/** A caller's request that has been read whole and has found its route. Times are those of the node's clock. */
import type Prompt from '../decisions/placement/Prompt.js';
import type Route from '../routes/Route.js';

interface ForwardRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | undefined;
  readonly route: Route;
  /** The one of the route's destinations that this request goes to. */
  readonly service: string;
  readonly prompt: Prompt | undefined;
  readonly lastEventId: string | undefined;
  readonly arrivedAtMs: number;
  /** When the caller's deadline or the route's timeout is reached, whichever is first. */
  readonly expiresAtMs: number;
  /** Whether another attempt may follow one that may have run. */
  readonly isRepeatable: boolean;
}

export default ForwardRequest;
