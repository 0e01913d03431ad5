/** Endpoint health: ejections, the trials after them, reports of peers, and rejections. */
import { expect } from 'chai';
import EndpointHealth from 'rhubarbcroft/decisions/health/EndpointHealth';

describe('the health of an endpoint', () => {
  it('sends one trial request at a time to an endpoint that was unreachable', () => {
    const health = new EndpointHealth();
    health.recordUnreachable(0);
    const ejected = [health.isAvoided(100), health.isAvoided(260)];
    health.beginTrial(260);
    const during = health.isAvoided(300);
    health.recordUnreachable(560);
    const afterFailure = [health.isAvoided(1_000), health.isAvoided(1_100)];
    health.beginTrial(1_100);
    health.recordAnswerStart(1_130);
    expect({ ejected, during, afterFailure, afterContact: health.isAvoided(1_131) }).to.deep.equal({
      ejected: [true, false],
      during: true,
      afterFailure: [true, false],
      afterContact: false,
    });
  });

  it('counts simultaneous connection failures as one ejection', () => {
    const health = new EndpointHealth();
    [0, 10, 20, 30].forEach((atMs) => health.recordUnreachable(atMs));
    expect(health.isAvoided(300)).to.equal(false);
  });

  it('avoids an endpoint that a peer could not reach, unless it has just answered this node', () => {
    const unknown = new EndpointHealth();
    const answering = new EndpointHealth();
    answering.recordAnswerStart(900);
    [unknown, answering].forEach((health) => health.recordPeerReport(1_000));
    expect([unknown, answering].map((health) => health.isAvoided(1_100))).to.deep.equal([
      true,
      false,
    ]);
    expect(unknown.isAvoided(1_600)).to.equal(false);
  });

  it('avoids a full endpoint for a short time without counting a failure', () => {
    const health = new EndpointHealth();
    health.recordRejection(0);
    expect([health.isAvoided(100), health.isAvoided(300)]).to.deep.equal([true, false]);
    expect(health.readFailureShare(100)).to.equal(0);
  });
});
