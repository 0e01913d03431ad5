/** Routes to the endpoint with the fewest requests, reported and unreported; prefers the node's own region. */
import type EndpointView from '../EndpointView.js';
import type Work from '../Work.js';
import type Route from './Route.js';
import Router from './Router.js';

const CROSS_REGION_REQUESTS = 1_000;

export default class LeastLoadedRouter extends Router {
  readonly #ownRegion: string;

  constructor(ownRegion: string) {
    super();
    this.#ownRegion = ownRegion;
  }

  override choose(_work: Work, candidates: readonly EndpointView[]): Route | undefined {
    let best: Route | undefined;
    let fewest = Infinity;
    for (const candidate of candidates.filter((each) => each.available)) {
      const regionPenalty = candidate.region === this.#ownRegion ? 0 : CROSS_REGION_REQUESTS;
      const load =
        (candidate.reportedRunning + candidate.unseenRequests + 1) / candidate.rampFraction +
        regionPenalty;
      if (load < fewest) {
        fewest = load;
        best = { endpointId: candidate.id, expectedFirstTokenMs: 0 };
      }
    }
    return best;
  }

  override recordDispatch(): void {}
}
