/**
 * Sends a failure in the OpenAI format, with its numbered code. The header `rhubarb-ran` states whether the
 * request ran, and `retry-after` is the suggested delay in whole seconds.
 */
import type { ServerResponse } from 'node:http';
import RESULT_CODES from '@rhubarbcroft/protocol/results/RESULT_CODES';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import formatErrorBody from '@rhubarbcroft/protocol/results/formatErrorBody';
import sendJson from './sendJson.js';

const MS_PER_S = 1_000;

export default function sendFailure(response: ServerResponse, failure: Failure): void {
  if (!response.headersSent) {
    response.setHeader('rhubarb-ran', failure.ran);
    if (failure.retryAfterMs !== undefined) {
      response.setHeader('retry-after', Math.max(1, Math.ceil(failure.retryAfterMs / MS_PER_S)));
    }
  }
  sendJson(response, RESULT_CODES[failure.code].httpStatus, formatErrorBody(failure));
}
