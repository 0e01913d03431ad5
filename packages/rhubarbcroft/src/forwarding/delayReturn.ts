/**
 * Delays the return of a caller whose request no endpoint could run because all of them are unreachable or full: at
 * once it would meet the same endpoints, and callers retry only once or twice. Only where the configuration has accounts.
 */
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type AdmissionChoice from './AdmissionChoice.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';

export default function delayReturn(
  { registry, routing, clock }: ForwardContext,
  { withAccounts }: AdmissionChoice,
  { id, service, expiresAtMs }: ForwardRequest,
  failure: Failure,
): Failure {
  if (routing.current?.hasAccounts !== true) {
    return failure;
  }
  const nowMs = clock.nowMs();
  const isServed = registry
    .listAvailable(service)
    .some(({ instance, health }) => instance.stage !== 'prefill' && !health.isAvoided(nowMs));
  if (isServed || failure.code !== 'NO_ENDPOINT' || failure.ran !== 'not_run') {
    return failure;
  }
  const caller = { id, service, remainingMs: expiresAtMs - nowMs };
  return { ...failure, retryAfterMs: withAccounts.planReturnMs(caller, 0) };
}
