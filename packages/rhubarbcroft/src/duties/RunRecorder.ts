/** Counts the requests that began to run, by client account. */
abstract class RunRecorder {
  /** Records that a request of the account began to run now. */
  abstract recordRun(account: string): void;
}

export default RunRecorder;
