/**
 * A unit of concurrent work, written as one sequential async function.
 *
 * `run` returns when its work is done or soon after the signal aborts, and rejects on a failure, which
 * its supervisor handles. `dumpState` returns the task's part of the state dump of the process.
 */
abstract class Task {
  abstract readonly name: string;

  abstract run(signal: AbortSignal): Promise<void>;

  dumpState(): unknown {
    return undefined;
  }
}

export default Task;
