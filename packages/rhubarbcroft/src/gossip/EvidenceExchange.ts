/** What a node exchanges with its peers about crashes of engines. Times are milliseconds of the node's own clock. */
import type CrashReport from '../decisions/poison/CrashReport.js';
import type PartTrial from '../decisions/poison/PartTrial.js';

abstract class EvidenceExchange {
  /** Takes over what a peer reported. */
  abstract merge(reports: readonly CrashReport[], trials: readonly PartTrial[]): void;

  /** What a peer that may have missed earlier reports has to learn, the most important first. */
  abstract listReports(): readonly CrashReport[];

  abstract dumpState(): unknown;
}

export default EvidenceExchange;
