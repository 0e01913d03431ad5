/** Baseline dispatch rule: dispatches work immediately, so that it queues at the engines. */
import type EndpointView from 'rhubarbcroft/decisions/EndpointView';
import type Work from 'rhubarbcroft/decisions/Work';
import DispatchRule from 'rhubarbcroft/decisions/admission/DispatchRule';

export default class AlwaysDispatchRule extends DispatchRule {
  override filter(_work: Work, candidates: readonly EndpointView[]): readonly EndpointView[] {
    return candidates.filter((candidate) => candidate.available);
  }

  override allows(): boolean {
    return true;
  }
}
