/** Tests which versions of the fleet document a node puts in force. */
import { expect } from 'chai';
import parseFleetDocument from '@rhubarbcroft/protocol/fleet/parseFleetDocument';
import CurrentFleet from 'rhubarbcroft/configuration/CurrentFleet';

describe('the fleet in force', () => {
  it('changes only to newer versions', () => {
    const document = parseFleetDocument({}).unwrapOr(undefined as never);
    const currentFleet = new CurrentFleet();
    const notified: number[] = [];
    currentFleet.onChange((fleet) => notified.push(fleet.version));
    const accepted = [3, 2, 3, 5, 4].map((version) =>
      currentFleet.applyIfNewer({ version, document }),
    );
    expect({ accepted, notified, version: currentFleet.version }).to.deep.equal({
      accepted: [true, false, false, true, false],
      notified: [3, 5],
      version: 5,
    });
  });
});
