/** Which endpoints may take work while none of a group is above suspicion. */
import { expect } from 'chai';
import EndpointState from 'rhubarbcroft/endpoints/EndpointState';

const PLACE = { index: 0, count: 1 };

function createState(): EndpointState {
  return new EndpointState(
    {
      id: 'engine-1',
      url: 'http://127.0.0.1:1',
      kind: 'engine',
      domain: 'litoral',
      region: 'litoral',
      labels: {},
      fencing: 'checked',
      slots: 32,
      prefillTokensPerS: 8_000,
      decodeTokensPerS: 1_600,
    },
    0,
  );
}

function describeStanding(state: EndpointState): readonly boolean[] {
  return [state.createView(0, false, PLACE).available, state.isOnlySuspect];
}

describe('a suspect endpoint', () => {
  it('is one that was slow to answer, not one where nobody listens', () => {
    const slow = createState();
    const down = createState();
    [1, 2].forEach(() => {
      slow.recordFailedRead({ kind: 'silent', detail: 'no head within 1000 ms' });
      down.recordFailedRead({ kind: 'unsent', detail: 'connection refused' });
    });
    expect({ slow: describeStanding(slow), down: describeStanding(down) }).to.deep.equal({
      slow: [false, true],
      down: [false, false],
    });
  });

  it('is one that was ejected after failures', () => {
    const state = createState();
    [1, 2, 3].forEach(() => state.outliers.recordFailure(0, true));
    expect(describeStanding(state)).to.deep.equal([false, true]);
  });
});
