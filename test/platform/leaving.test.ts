/** Shutdown of a forwarding node: open requests are finished, and requests that still arrive are answered. */
import { expect } from 'chai';
import { request as sendRequest } from 'undici';
import ReplicaStandin from './standins/ReplicaStandin.js';
import StoreStandin from './standins/StoreStandin.js';
import createConfiguration from './standins/createConfiguration.js';
import startGateway from './standins/startGateway.js';
import sleep from '../support/sleep.js';

describe('graceful shutdown of a forwarding node', () => {
  it('finishes open requests, answers new ones and reports that it is not ready', async () => {
    const store = new StoreStandin();
    const ledger = new ReplicaStandin('ledger-1', 'ledger');
    await store.start();
    await ledger.start();
    store.put('op', 'config', createConfiguration(1));
    store.put('servers', ledger.id, ledger.createEntry());
    const gateway = await startGateway({ storeUrl: store.url });
    ledger.behaviour = async (arrival) => {
      await sleep(400);
      ReplicaStandin.answer(arrival);
    };
    const send = (id: string): Promise<readonly [number, unknown]> =>
      sendRequest(`${gateway.url}/book/1`, {
        method: 'POST',
        body: 'x',
        headers: { host: 'shop.example', 'x-request-id': id, 'x-deadline-ms': '1900' },
      }).then(async ({ statusCode, headers, body }) => {
        await body.dump();
        return [statusCode, headers.connection] as const;
      });
    const openRequest = send('before');
    await sleep(100);
    const stopped = gateway.stop();
    await sleep(50);
    const ready = await fetch(gateway.readyUrl).then(
      ({ status }) => status,
      () => 'closed',
    );
    const newRequest = await send('after');
    expect([await openRequest, newRequest, ready]).to.deep.equal([
      [200, 'close'],
      [200, 'close'],
      503,
    ]);
    await stopped;
    await ledger.stop();
    await store.stop();
  });
});
