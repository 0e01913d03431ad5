/** A route: the requests that it matches, their destinations, and their limits and latency targets. */
import type RouteDestination from './RouteDestination.js';
import type RouteKind from './RouteKind.js';

interface Route {
  readonly name: string;
  /** Host name, compared without regard to case. */
  readonly host: string;
  /** Path prefix, starting and ending with a slash; the longest matching prefix of a host wins. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly destinations: readonly RouteDestination[];
  /** Upper bound on the time to serve a request; the caller's deadline may be shorter. */
  readonly timeoutMs: number;
  /** Promised time to the answer, or to the first event of a stream. */
  readonly targetLatencyMs: number;
  /** Maximum number of endpoints at which one request may run. */
  readonly maxAttempts: number;
  /** Priority of the requests; 0 is the most urgent. */
  readonly rank: number;
  /** Whether a broken stream may be resumed at another endpoint after its last event. */
  readonly resumable: boolean;
  /** Whether requests describe a prompt whose parts endpoints keep in their KV caches. */
  readonly hasPrompts: boolean;
  /** Whether callers need no key although the configuration has accounts. */
  readonly isPublic?: boolean;
  /** Promised longest gap between the events of a stream. */
  readonly maxEventGapMs: number;
}

export default Route;
