/** A class of faults that a run of the soak can include. */
import type FAULT_CLASSES from './FAULT_CLASSES.js';

type FaultClass = (typeof FAULT_CLASSES)[number];

export default FaultClass;
