/** How an endpoint is judged: rests, trials after them, suspicions of peers, rejections. */
import { expect } from 'chai';
import EndpointHealth from 'rhubarbcroft/decisions/health/EndpointHealth';

describe('the health of an endpoint', () => {
  it('lets one request at a time try an endpoint that could not be reached', () => {
    const health = new EndpointHealth();
    health.recordUnreachable(0);
    const resting = [health.isResting(100), health.isResting(260)];
    health.beginTrial(260);
    const during = health.isResting(300);
    health.recordUnreachable(560);
    const afterFailure = [health.isResting(1_000), health.isResting(1_100)];
    health.beginTrial(1_100);
    health.recordContact(1_130);
    expect({ resting, during, afterFailure, afterContact: health.isResting(1_131) }).to.deep.equal({
      resting: [true, false],
      during: true,
      afterFailure: [true, false],
      afterContact: false,
    });
  });

  it('takes one cause that ends many requests for one', () => {
    const health = new EndpointHealth();
    [0, 10, 20, 30].forEach((atMs) => health.recordUnreachable(atMs));
    expect(health.isResting(300)).to.equal(false);
  });

  it('avoids what a peer could not reach, but not what has just answered here', () => {
    const unknown = new EndpointHealth();
    const answering = new EndpointHealth();
    answering.recordContact(900);
    [unknown, answering].forEach((health) => health.recordSuspicion(1_000));
    expect([unknown, answering].map((health) => health.isResting(1_100))).to.deep.equal([
      true,
      false,
    ]);
    expect(unknown.isResting(1_600)).to.equal(false);
  });

  it('leaves a full endpoint alone for a moment without counting a failure', () => {
    const health = new EndpointHealth();
    health.recordRejection(0);
    expect([health.isResting(100), health.isResting(300)]).to.deep.equal([true, false]);
    expect(health.readFailureShare(100)).to.equal(0);
  });
});
