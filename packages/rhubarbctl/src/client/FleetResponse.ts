/** Response of the administration API to a read or a change of the fleet document. */
import type FleetDocument from '@rhubarbcroft/protocol/fleet/FleetDocument';

interface FleetResponse {
  readonly version: number;
  readonly document: FleetDocument;
  readonly differences?: readonly string[];
  readonly accepted?: boolean;
}

export default FleetResponse;
