/**
 * Records once for each request that it began to run: a stream with its first token, a plain request with its answer, or
 * with the loss of an answer after which it may have run.
 */
import type AttemptResult from './AttemptResult.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';

export default class FirstRun {
  readonly #context: Pick<ForwardContext, 'runs'>;

  readonly #request: ForwardRequest;

  #isRecorded = false;

  constructor(context: Pick<ForwardContext, 'runs'>, request: ForwardRequest) {
    this.#context = context;
    this.#request = request;
  }

  record(): void {
    const { account } = this.#request;
    if (!this.#isRecorded && account !== undefined) {
      this.#isRecorded = true;
      this.#context.runs?.recordRun(account);
    }
  }

  /** Records the run of a plain request. */
  recordResult(result: AttemptResult): void {
    const mayHaveRun =
      result.type === 'held' || (result.type === 'failed' && result.ran !== 'not_run');
    if (this.#request.route.kind !== 'stream' && mayHaveRun) {
      this.record();
    }
  }
}
