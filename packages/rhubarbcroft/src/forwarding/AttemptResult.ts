/**
 * How one attempt ended. `held` is an endpoint's whole answer; `streamed` means that the caller has the
 * whole stream. A failed attempt says whether the request may have run: only one that is certainly
 * `not_run` may be refused as such, or sent elsewhere when it must not run twice.
 */
import type RunState from '@rhubarbcroft/protocol/results/RunState';
import type AttemptFailure from '../endpoints/AttemptFailure.js';
import type HeldAnswer from './HeldAnswer.js';

type AttemptResult =
  | { readonly type: 'held'; readonly answer: HeldAnswer }
  | { readonly type: 'streamed' }
  | { readonly type: 'failed'; readonly failure: AttemptFailure; readonly ran: RunState };

export default AttemptResult;
