/** Baseline admission: first come, first served; refuses requests only once their deadline has passed. */
import AdmissionPolicy from 'rhubarbcroft/decisions/admission/AdmissionPolicy';
import type AdmissionResult from 'rhubarbcroft/decisions/admission/AdmissionResult';
import type Work from 'rhubarbcroft/decisions/Work';

export default class FifoAdmission extends AdmissionPolicy {
  protected readonly queue = new Map<string, Work>();

  override get waiting(): number {
    return this.queue.size;
  }

  override offer(work: Work): AdmissionResult {
    this.queue.set(work.requestId, work);
    return { admitted: true };
  }

  override take(_nowMs: number, canRun: (work: Work) => boolean): Work | undefined {
    const next = this.findNext();
    if (next === undefined || !canRun(next)) {
      return undefined;
    }
    this.queue.delete(next.requestId);
    return next;
  }

  override withdraw(requestId: string): void {
    this.queue.delete(requestId);
  }

  override expire(nowMs: number): readonly Work[] {
    const expired = [...this.queue.values()].filter((work) => work.deadlineAtMs < nowMs);
    expired.forEach((work) => this.queue.delete(work.requestId));
    return expired;
  }

  protected findNext(): Work | undefined {
    const [first] = this.queue.values();
    return first;
  }
}
