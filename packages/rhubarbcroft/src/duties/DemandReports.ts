/** The demand that the nodes of the fleet, this one included, last reported to the holder of a duty. */
import type NodeDemand from './NodeDemand.js';

abstract class DemandReports {
  /** Lists the latest report of each node. */
  abstract list(): readonly NodeDemand[];
}

export default DemandReports;
