/** Decides whether a queued request may be dispatched now, and to which candidates. */
import type EndpointView from '../EndpointView.js';
import type Work from '../Work.js';
import type CachedPrefix from '../routing/CachedPrefix.js';
import type Route from '../routing/Route.js';

abstract class DispatchRule {
  /**
   * The candidates with room for the request; `cachedPrefixes` describes, by endpoint id, which of them have a
   * prefix of its prompt cached.
   */
  abstract filter(
    work: Work,
    candidates: readonly EndpointView[],
    cachedPrefixes: ReadonlyMap<string, CachedPrefix>,
  ): readonly EndpointView[];

  /** Whether to dispatch over this route now rather than keep the request in the queue. */
  abstract allows(work: Work, route: Route, endpoint: EndpointView): boolean;
}

export default DispatchRule;
