/** What one node has learnt of an endpoint's pace, as it is reported to the peers. */
import type PaceMeasure from './PaceMeasure.js';

interface PaceNotice {
  readonly instanceId: string;
  readonly measure: PaceMeasure;
  readonly value: number;
}

export default PaceNotice;
