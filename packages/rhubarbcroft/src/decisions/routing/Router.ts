/** Chooses the endpoint of a request among candidates that match its selectors. */
import type EndpointView from '../EndpointView.js';
import type Work from '../Work.js';
import type CachedPrefix from './CachedPrefix.js';
import type Route from './Route.js';

abstract class Router {
  /** Returns the best route, or undefined if no candidate is available. */
  abstract choose(work: Work, candidates: readonly EndpointView[]): Route | undefined;

  /** The candidates that probably have a prefix of the prompt cached, by endpoint id. */
  findCachedPrefixes(
    _work: Work,
    _candidates: readonly EndpointView[],
  ): ReadonlyMap<string, CachedPrefix> {
    return new Map();
  }

  /** Estimates the prompt tokens that must be prefilled; the others are expected in a prefix cache. */
  estimateUncachedTokens(work: Work): number {
    return work.promptTokens;
  }

  /** Records that a request was dispatched, so that a router can track where prefixes are cached. */
  abstract recordDispatch(work: Work, route: Route): void;
}

export default Router;
