/** Counts the demand for services at this node. */
import type ServiceDemand from './ServiceDemand.js';

abstract class DemandSource {
  /** The counts since the start of the process. */
  abstract read(): readonly ServiceDemand[];
}

export default DemandSource;
