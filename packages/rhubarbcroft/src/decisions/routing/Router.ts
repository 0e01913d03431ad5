/** Chooses the endpoint of a request among candidates that match its selectors. */
import type EndpointView from '../EndpointView.js';
import type Work from '../Work.js';
import type PrefixHolder from './PrefixHolder.js';
import type Route from './Route.js';

abstract class Router {
  /** Returns the best route, or undefined if no candidate is available. */
  abstract choose(work: Work, candidates: readonly EndpointView[]): Route | undefined;

  /** The candidates that probably have a prefix of the prompt cached, by endpoint id. */
  findHolders(
    _work: Work,
    _candidates: readonly EndpointView[],
  ): ReadonlyMap<string, PrefixHolder> {
    return new Map();
  }

  /** Estimates the prompt tokens that must be prefilled; the others are expected in a prefix cache. */
  estimateNewTokens(work: Work): number {
    return work.promptTokens;
  }

  /** Records that a request was dispatched, so that a router can track where prefixes are cached. */
  abstract noteSent(work: Work, route: Route): void;
}

export default Router;
