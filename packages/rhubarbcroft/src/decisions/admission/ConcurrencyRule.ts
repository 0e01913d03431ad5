/** Allows a call to a plain service's endpoint while this node's calls in flight there are below its limit. */
import type EndpointView from '../EndpointView.js';
import type Work from '../Work.js';
import DispatchRule from './DispatchRule.js';

export default class ConcurrencyRule extends DispatchRule {
  override filter(_work: Work, candidates: readonly EndpointView[]): readonly EndpointView[] {
    return candidates.filter(
      (candidate) => candidate.available && candidate.ownRequests < candidate.slots,
    );
  }

  override allows(): boolean {
    return true;
  }
}
