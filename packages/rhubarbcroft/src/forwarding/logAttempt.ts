/** Logs the result of one attempt with its placement, and counts it. */
import type AttemptResult from './AttemptResult.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';
import type Placement from './Placement.js';

export default function logAttempt(
  { log, clock, metrics }: ForwardContext,
  request: ForwardRequest,
  placement: Placement,
  result: AttemptResult,
  sends: number,
): void {
  const fields = {
    requestId: request.id,
    route: request.route.name,
    instance: placement.target.instance.id,
    prefillInstance: placement.prefill?.instance.id,
    prefillMs: Math.round(placement.prefillMs),
    expectedMs: Math.round(placement.expectedMs),
    sends,
    tookMs: Math.round(clock.nowMs() - request.arrivedAtMs),
    parts: request.prompt?.parts.slice(0, -1).map(({ id }) => id),
  };
  metrics.increment('attempts', {
    service: request.service,
    result: result.type === 'failed' ? result.failure.kind : result.type,
  });
  if (result.type === 'failed') {
    const { kind, detail } = result.failure;
    log.info({ ...fields, kind, detail, ran: result.ran }, 'attempt failed');
  } else {
    const status = result.type === 'held' ? result.answer.status : undefined;
    log.info({ ...fields, status }, 'attempt answered');
  }
}
