/**
 * The task of a planned stop: records the stop signal, ends the open requests in time for their answers to leave, and
 * logs what is still open just before the process exits. It stops after everything else.
 */
import type StopAdmission from '../decisions/shutdown/StopAdmission.js';
import type StopTimes from '../decisions/shutdown/StopTimes.js';
import type OpenRequests from '../forwarding/OpenRequests.js';
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';
import waitForAbort from '../supervision/waitForAbort.js';

interface PlannedStopOptions {
  readonly times: StopTimes;
  readonly admission: StopAdmission;
  readonly openRequests: OpenRequests;
  readonly shutdown: AbortSignal;
  readonly clock: Clock;
}

/** Time for writing the last lines before the exit. */
const LOG_MARGIN_MS = 100;

export default class PlannedStop extends Task {
  override readonly name = 'planned-stop';

  readonly #options: PlannedStopOptions;

  constructor(options: PlannedStopOptions) {
    super();
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    const { times, admission, openRequests, shutdown, clock } = this.#options;
    await waitForAbort(AbortSignal.any([signal, shutdown]));
    admission.begin(clock.nowMs());
    await clock.sleep(times.answerMs, signal);
    if (!signal.aborted) {
      openRequests.endAll('the grace period of the stop is about to end');
    }
    await clock.sleep(times.exitMs - times.answerMs - LOG_MARGIN_MS, signal);
    if (!signal.aborted) {
      openRequests.logAll('the process exits now');
    }
  }
}
