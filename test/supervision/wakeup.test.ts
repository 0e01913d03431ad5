/** Guards against a task that waits again and again, and adds a listener to the signal of its whole life each time. */
import { getEventListeners } from 'node:events';
import { expect } from 'chai';
import Wakeup from 'rhubarbcroft/supervision/Wakeup';

describe('a wakeup', () => {
  it('leaves no listener behind when it was notified, and ends its wait when the signal aborts', async () => {
    const wakeup = new Wakeup();
    const stop = new AbortController();
    for (let round = 0; round < 20; round += 1) {
      const waiting = wakeup.wait(stop.signal);
      wakeup.notify();
      await waiting;
    }
    expect(getEventListeners(stop.signal, 'abort').length).to.equal(0);
    const waiting = wakeup.wait(stop.signal);
    stop.abort();
    await waiting;
  });
});
