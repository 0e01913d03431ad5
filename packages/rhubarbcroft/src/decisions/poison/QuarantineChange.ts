/** What a node learned about crashes, and which verdicts changed by it. */
import type CrashReport from './CrashReport.js';
import type PartVerdict from './PartVerdict.js';

interface QuarantineChange {
  /** What was not known before; the peers have to learn it. */
  readonly news: readonly CrashReport[];
  readonly blamed: readonly PartVerdict[];
  /** Parts that are not held responsible any more. */
  readonly released: readonly string[];
}

export default QuarantineChange;
