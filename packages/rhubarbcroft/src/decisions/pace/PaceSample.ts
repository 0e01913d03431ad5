/** One observation of an endpoint's pace, in the unit of its measure. */
interface PaceSample {
  readonly value: number;
  readonly atMs: number;
}

export default PaceSample;
