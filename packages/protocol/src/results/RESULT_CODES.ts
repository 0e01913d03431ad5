/**
 * The numbered result codes of all programs in the project.
 *
 * The number of a code is stable and is never reused for another meaning. `httpStatus` is the status
 * sent to a caller or operator, `exitCode` the exit status of a program that ends with this failure,
 * and `mend` the remedy, under the name that it has in error bodies. The table in docs/ERRORS.md is
 * generated from this list.
 */
// prettier-ignore
const RESULT_CODES = {
  MALFORMED_BODY: { number: 1001, httpStatus: 400, exitCode: 2, text: 'the request body is not valid JSON of the expected shape', mend: 'send a JSON object with the documented fields' },
  BODY_TOO_LARGE: { number: 1002, httpStatus: 413, exitCode: 2, text: 'the request body exceeds the size limit', mend: 'shorten the prompt, or raise callers.maxBodyBytes' },
  UNKNOWN_MODEL: { number: 1003, httpStatus: 404, exitCode: 2, text: 'no endpoint serves the model', mend: 'list the models with GET /v1/models' },
  UNKNOWN_SERVICE: { number: 1004, httpStatus: 404, exitCode: 2, text: 'no service has this name', mend: 'list the services with rhubarbctl get services' },
  UNKNOWN_RANK: { number: 1005, httpStatus: 400, exitCode: 2, text: 'the rank is not one of urgent, standard, patient', mend: 'send rhubarb-rank with one of the three ranks, or omit the header' },
  DEADLINE_PAST: { number: 1006, httpStatus: 400, exitCode: 2, text: 'the deadline is not in the future', mend: 'send rhubarb-deadline-ms with a positive number of milliseconds' },
  HEADER_TOO_LARGE: { number: 1007, httpStatus: 431, exitCode: 2, text: 'a request header exceeds the size limit', mend: 'shorten the header' },
  BODY_TOO_SLOW: { number: 1008, httpStatus: 408, exitCode: 2, text: 'the request body did not arrive in time', mend: 'send the whole body within callers.bodyTimeoutMs' },
  NOT_FOUND: { number: 1009, httpStatus: 404, exitCode: 2, text: 'no such path or resource', mend: 'check the name; docs/API.md lists the paths' },
  HEADER_TOO_SLOW: { number: 1010, httpStatus: 408, exitCode: 2, text: 'the request head did not arrive in time', mend: 'send the whole head within the header time limit' },
  UNAUTHENTICATED: { number: 1101, httpStatus: 401, exitCode: 4, text: 'the token is missing or not valid', mend: 'send Authorization: Bearer with a token of a known account' },
  FORBIDDEN: { number: 1102, httpStatus: 403, exitCode: 4, text: 'the account lacks the required scope', mend: 'ask an administrator for the scope' },
  ACCOUNT_LIMIT: { number: 1201, httpStatus: 429, exitCode: 3, text: 'the account exceeded its token rate', mend: 'retry after the time given in retry-after' },
  QUEUE_FULL: { number: 1202, httpStatus: 429, exitCode: 3, text: 'the queue for this rank and kind is full', mend: 'retry after the time given in retry-after' },
  DEADLINE_UNREACHABLE: { number: 1203, httpStatus: 503, exitCode: 3, text: 'the deadline cannot be met at the current load', mend: 'retry later or with a longer deadline' },
  NO_ENDPOINT: { number: 1204, httpStatus: 503, exitCode: 3, text: 'no available endpoint can run the request', mend: 'check labels, placement rules and drains with rhubarbctl get endpoints' },
  SHUTTING_DOWN: { number: 1205, httpStatus: 503, exitCode: 3, text: 'the entry VM is shutting down', mend: 'reconnect through the load balancer' },
  POISONED: { number: 1206, httpStatus: 422, exitCode: 3, text: 'the request crashed endpoints and is temporarily blocked', mend: 'change the request, or wait until the block expires' },
  CLAIM_UNAVAILABLE: { number: 1207, httpStatus: 503, exitCode: 3, text: 'the table service is unreachable, so a request that may run at most once was not started', mend: 'retry with the same idempotency key when the platform is available again' },
  CLAIM_IN_PROGRESS: { number: 1208, httpStatus: 409, exitCode: 3, text: 'a request with this idempotency key is running or was interrupted; whether it ran is unknown', mend: 'retry with the same key' },
  CLAIM_MISMATCH: { number: 1209, httpStatus: 422, exitCode: 2, text: 'the idempotency key was already used for a different request', mend: 'use a new key for a new request' },
  CLAIM_NOT_KEPT: { number: 1210, httpStatus: 409, exitCode: 3, text: 'the request ran, but its response was too large to store', mend: 'check the outcome at the service' },
  PART_QUARANTINED: { number: 1211, httpStatus: 503, exitCode: 3, text: 'engines crashed when they began to answer prompts with one of the parts', mend: 'retry after the time given in retry-after, or change the prompt' },
  REQUEST_QUARANTINED: { number: 1212, httpStatus: 503, exitCode: 3, text: 'endpoints crashed when they ran this request', mend: 'retry after the time given in retry-after, or change the request' },
  INTAKE_FULL: { number: 1213, httpStatus: 503, exitCode: 3, text: 'the process holds as many bytes for callers as its limit allows', mend: 'retry after the time given in retry-after' },
  ENDPOINT_FAILED: { number: 1301, httpStatus: 502, exitCode: 3, text: 'the endpoint failed before the response was complete', mend: 'retry if the request may run again' },
  STREAM_BROKEN: { number: 1302, httpStatus: 502, exitCode: 3, text: 'the stream broke and could not be resumed', mend: 'retry; the response received so far is incomplete' },
  DEADLINE_EXCEEDED: { number: 1303, httpStatus: 504, exitCode: 3, text: 'the deadline passed before the response was complete', mend: 'retry with a longer deadline' },
  PLATFORM_UNAVAILABLE: { number: 2001, httpStatus: 503, exitCode: 5, text: 'the platform does not respond', mend: 'check platform.tableUrl and the state of the platform' },
  PLATFORM_CONFLICT: { number: 2002, httpStatus: 409, exitCode: 6, text: 'a precondition of the write does not hold', mend: 'read the row again' },
  PLATFORM_ANSWER_LOST: { number: 2003, httpStatus: 503, exitCode: 5, text: 'the response to a write was lost, and its outcome is unknown', mend: 'read back the outcome before continuing' },
  PLATFORM_MALFORMED: { number: 2004, httpStatus: 502, exitCode: 5, text: 'the platform sent a malformed response', mend: 'check that platform.tableUrl is the URL of the table service' },
  CONFIGURATION_INVALID: { number: 3001, httpStatus: 422, exitCode: 2, text: 'the fleet document is not valid', mend: 'correct the field named in the detail' },
  CONFIGURATION_STALE: { number: 3002, httpStatus: 409, exitCode: 6, text: 'the change is not based on the current version', mend: 'review the difference, then apply the change to the current version' },
  CONFIGURATION_ABSENT: { number: 3003, httpStatus: 503, exitCode: 5, text: 'no configuration has been received yet', mend: 'apply a fleet document, or wait until the platform or a peer responds' },
  SELECTOR_INVALID: { number: 3004, httpStatus: 422, exitCode: 2, text: 'the selector is not valid', mend: 'correct the selector at the column given in the detail' },
  SETTINGS_UNREADABLE: { number: 4001, httpStatus: 500, exitCode: 2, text: 'the settings file cannot be read', mend: 'specify the path of a readable INI file' },
  SETTINGS_INVALID: { number: 4002, httpStatus: 500, exitCode: 2, text: 'a setting is not valid', mend: 'correct the key named in the detail; see docs/SETTINGS.md' },
  CERTIFICATE_INVALID: { number: 4003, httpStatus: 500, exitCode: 2, text: 'a certificate or its key cannot be used', mend: 'specify the paths of a PEM certificate and its matching private key' },
  FRAME_TOO_LARGE: { number: 5001, httpStatus: 500, exitCode: 3, text: 'a peer sent a frame that exceeds the size limit', mend: 'check that only peers of the same release can connect to the peer port' },
  FRAME_MALFORMED: { number: 5002, httpStatus: 500, exitCode: 3, text: 'a peer sent a frame that is not a known message', mend: 'check that only peers of the same release can connect to the peer port' },
  PEER_REFUSED: { number: 5003, httpStatus: 500, exitCode: 4, text: 'a peer does not have the shared key', mend: 'set peers.key to the same key on all entry VMs' },
  LEASE_LOST: { number: 6001, httpStatus: 409, exitCode: 6, text: 'the lease is held by another process', mend: 'no action needed; the current holder continues' },
  ORDER_REFUSED: { number: 6002, httpStatus: 409, exitCode: 6, text: 'the endpoint refused the order', mend: 'no action needed; a newer lease holder has sent orders' },
  ORDER_STALLED: { number: 6003, httpStatus: 409, exitCode: 6, text: 'an order of a former lease holder is still pending, and the endpoint ignores fencing tokens', mend: 'no action needed; it clears when the former holder acknowledges or its VM is gone' },
  CHILD_FAILED: { number: 7001, httpStatus: 500, exitCode: 1, text: 'a task failed more often than its restart budget allows', mend: 'see the log record of the task' },
  LISTEN_FAILED: { number: 7002, httpStatus: 500, exitCode: 1, text: 'an address cannot be bound', mend: 'free the port, or change the address in the settings' },
  INTERNAL: { number: 7003, httpStatus: 500, exitCode: 1, text: 'an unexpected internal error occurred', mend: 'report the log record with the request id' },
} as const;

export default RESULT_CODES;
