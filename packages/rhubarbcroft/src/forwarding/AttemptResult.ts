/**
 * How one attempt ended. `held` carries an endpoint's complete, buffered answer; `streamed` means that the
 * whole stream has been relayed to the caller. A failed attempt reports whether the request may have run: only
 * a request that is certainly `not_run` may be refused as such, or be retried when it must not run twice.
 */
import type RunState from '@rhubarbcroft/protocol/results/RunState';
import type AttemptFailure from '../endpoints/AttemptFailure.js';
import type BufferedAnswer from './BufferedAnswer.js';

type AttemptResult =
  | { readonly type: 'held'; readonly answer: BufferedAnswer }
  | { readonly type: 'streamed' }
  | { readonly type: 'failed'; readonly failure: AttemptFailure; readonly ran: RunState };

export default AttemptResult;
