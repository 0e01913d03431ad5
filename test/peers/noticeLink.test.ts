/** The link over which a peer receives the notices about endpoints. */
import { expect } from 'chai';
import NoticeLink from 'rhubarbcroft/gossip/NoticeLink';
import SystemClock from 'rhubarbcroft/supervision/SystemClock';
import allocatePorts from '@rhubarbcroft/standins/fleet/allocatePorts';

describe('notice link', () => {
  it('keeps running while the peer is down, so that the restarts of its supervisor are not used up', async () => {
    const [port] = await allocatePorts(1);
    const stop = new AbortController();
    const running = new NoticeLink(`127.0.0.1:${port}`, new SystemClock()).run(stop.signal);
    setTimeout(() => stop.abort(), 200);
    const outcome = await running.then(
      () => 'stopped',
      (error: Error) => error.message,
    );
    expect(outcome).to.equal('stopped');
  });
});
