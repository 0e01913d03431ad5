/** The streamed answer of an engine: batches of events, ending with `done` or with a failure. */
import type Result from 'true-myth/result';
import type AttemptFailure from './AttemptFailure.js';
import type EngineEvent from './EngineEvent.js';

abstract class EngineStream {
  /** Waits for the next events. Must not be called again after a failure or `done`. */
  abstract read(): Promise<Result<readonly EngineEvent[], AttemptFailure>>;

  /** Closes the connection and discards the rest of the answer. */
  abstract close(): void;
}

export default EngineStream;
