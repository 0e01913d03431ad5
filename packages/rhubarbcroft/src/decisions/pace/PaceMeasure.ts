/**
 * What an endpoint's pace is learnt from: the figure that it reports with its load (1 is the usual time), the time between
 * two events of a stream or that of a prefill, over its estimate, or the milliseconds of a whole plain call.
 */
type PaceMeasure = 'reported' | 'step' | 'prefill' | 'service';

export default PaceMeasure;
