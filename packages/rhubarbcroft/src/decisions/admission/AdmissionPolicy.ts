/**
 * Queues requests and decides which one is dispatched next. There is one instance for each group of
 * interchangeable endpoints on an entry VM.
 */
import type Work from '../Work.js';
import type AdmissionResult from './AdmissionResult.js';

abstract class AdmissionPolicy {
  /** Queues a request, or refuses it. */
  abstract offer(work: Work, nowMs: number): AdmissionResult;

  /**
   * Removes and returns the next request to dispatch, among those that `canRun` allows. It has the rank to run
   * at, which may be more urgent than its original rank.
   */
  abstract take(nowMs: number, canRun: (work: Work) => boolean): Work | undefined;

  /** Removes a queued request whose caller has gone. */
  abstract withdraw(requestId: string): void;

  /** Removes and returns the requests that can no longer meet their deadline. */
  abstract expire(nowMs: number): readonly Work[];

  /** The number of queued requests. */
  abstract get waiting(): number;
}

export default AdmissionPolicy;
