/** A route: which requests it takes, where they go, and what they may expect. */
import type RouteDestination from './RouteDestination.js';
import type RouteKind from './RouteKind.js';

interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash; the longest prefix of a host that begins the path wins. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly destinations: readonly RouteDestination[];
  /** The longest time that a request may be kept waiting. */
  readonly timeoutMs: number;
  /** The time to the answer, or to a stream's first event, that callers are promised. */
  readonly targetLatencyMs: number;
  /** On how many endpoints one request may run. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Whether a broken stream may go on at another endpoint after its last event. */
  readonly resumable: boolean;
  /** Whether requests describe a prompt whose parts endpoints keep in their KV cache. */
  readonly hasPrompts: boolean;
  readonly maxEventGapMs: number;
}

export default Route;
