/**
 * The result of a duty's call: accepted; `unavailable` when no replicas can be had there now; `throttled` when the
 * platform's rate was exceeded; `rejected` for any other client error; `unknown` when there was no answer or a server
 * error, after which only an exact repeat with the same right is allowed.
 */
type DutyOutcome = 'accepted' | 'unavailable' | 'throttled' | 'rejected' | 'unknown';

export default DutyOutcome;
