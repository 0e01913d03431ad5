/**
 * Whether an endpoint ran a request.
 *
 * `not_run` is reported only if it is certain that nothing was sent to an endpoint, `ran` if an
 * endpoint is known to have run the request, and `unknown` in every other case.
 */
type RunState = 'not_run' | 'ran' | 'unknown';

export default RunState;
