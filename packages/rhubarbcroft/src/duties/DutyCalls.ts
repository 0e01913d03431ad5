/** The calls to the platform that are the duty of one node at a time. */
import type DutyOutcome from './DutyOutcome.js';
import type DutyRight from './DutyRight.js';
import type ReplicaOrder from './ReplicaOrder.js';
import type UsageReport from './UsageReport.js';

abstract class DutyCalls {
  /** Reports the usage of a window. A repeat must have the same counts. */
  abstract reportUsage(report: UsageReport, right: DutyRight): Promise<DutyOutcome>;

  /** Orders replicas of a service in a failure domain. */
  abstract orderReplicas(order: ReplicaOrder, right: DutyRight): Promise<DutyOutcome>;
}

export default DutyCalls;
