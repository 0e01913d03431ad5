/** Which unavailable endpoints are still used when none of their group is available. */
import { expect } from 'chai';
import EndpointState from 'rhubarbcroft/endpoints/EndpointState';

const POSITION = { index: 0, count: 1 };

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

function describeAvailability(state: EndpointState): readonly boolean[] {
  return [state.createView(0, false, POSITION).available, state.isFallbackCandidate];
}

describe('the fallback to an unavailable endpoint', () => {
  it('allows an endpoint that answers too slowly, but not one that refuses connections', () => {
    const slow = createState();
    const down = createState();
    [1, 2].forEach(() => {
      slow.recordFailedRead({ kind: 'silent', detail: 'no head within 1000 ms' });
      down.recordFailedRead({ kind: 'unsent', detail: 'connection refused' });
    });
    expect({ slow: describeAvailability(slow), down: describeAvailability(down) }).to.deep.equal({
      slow: [false, true],
      down: [false, false],
    });
  });

  it('allows an endpoint that was ejected after failures', () => {
    const state = createState();
    [1, 2, 3].forEach(() => state.outliers.recordFailure(0, true));
    expect(describeAvailability(state)).to.deep.equal([false, true]);
  });
});
