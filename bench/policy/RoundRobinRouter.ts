/** Baseline router: chooses the available engines in round-robin order. */
import type EndpointView from 'rhubarbcroft/decisions/EndpointView';
import type Work from 'rhubarbcroft/decisions/Work';
import type Route from 'rhubarbcroft/decisions/routing/Route';
import Router from 'rhubarbcroft/decisions/routing/Router';

export default class RoundRobinRouter extends Router {
  #next: number;

  constructor(start: number) {
    super();
    this.#next = start;
  }

  override choose(_work: Work, candidates: readonly EndpointView[]): Route | undefined {
    const usable = candidates.filter((candidate) => candidate.available);
    if (usable.length === 0) {
      return undefined;
    }
    this.#next += 1;
    return { endpointId: usable[this.#next % usable.length].id, expectedFirstTokenMs: 0 };
  }

  override recordDispatch(): void {}
}
