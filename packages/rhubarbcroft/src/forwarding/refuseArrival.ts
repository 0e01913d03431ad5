/** Asks the admission policy about a placed request; returns the failure to answer with if it is refused. */
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type AdmissionChoice from './AdmissionChoice.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';
import type Placement from './Placement.js';

export default function refuseArrival(
  { clock, metrics, routing }: ForwardContext,
  { withAccounts, withoutAccounts }: AdmissionChoice,
  { id, route, service, account, rank, expiresAtMs }: ForwardRequest,
  { expectedMs, prefillMs }: Placement,
): Failure | undefined {
  const admission = routing.current?.hasAccounts === true ? withAccounts : withoutAccounts;
  const nowMs = clock.nowMs();
  const remainingMs = expiresAtMs - nowMs;
  const waitMs = Math.max(0, expectedMs - prefillMs);
  const decision = admission.decide(
    { id, route: route.name, service, account, costMs: prefillMs, waitMs, expectedMs, remainingMs },
    nowMs,
  );
  if (decision.admitted) {
    return undefined;
  }
  const { cause, budgetMs, retryAfterMs } = decision;
  metrics.increment('arrivals_refused', { cause, rank: String(rank) });
  const times = [expectedMs, remainingMs, budgetMs].map(Math.round);
  const detail = `the first token is expected in ${times[0]} ms, but the deadline is in ${times[1]} ms; it must be expected within ${times[2]} ms (${cause}, rank ${rank})`;
  return createFailure('DEADLINE_UNREACHABLE', detail, 'not_run', retryAfterMs);
}
