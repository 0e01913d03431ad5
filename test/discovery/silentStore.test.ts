/**
 * Guards against a node that counts as in contact with the store but has not read what it missed: its connections to the
 * store fell silent without an error, at any moment of a wait for changes. It would refuse requests on new routes, and
 * use an instance that has left, also because it took its own silent connection for an absence of the store.
 */
import { expect } from 'chai';
import { request as sendRequest } from 'undici';
import Relay from '@rhubarbcroft/standins/fleet/Relay';
import deriveFeedTiming from 'rhubarbcroft/discovery/deriveFeedTiming';
import PlatformClient from 'rhubarbcroft/store/PlatformClient';
import ReplicaStandin from '../platform/standins/ReplicaStandin.js';
import StoreStandin from '../platform/standins/StoreStandin.js';
import createConfiguration from '../platform/standins/createConfiguration.js';
import createRoute from '../platform/standins/createRoute.js';
import startGateway from '../platform/standins/startGateway.js';
import sleep from '../support/sleep.js';

const NODES = 8;
const STAGGER_MS = 400;
const CONTACT_MS = 4_000;
const STORE_TIMEOUT_MS = 400;

async function get(url: string, path: string): Promise<number> {
  const response = await sendRequest(`${url}${path}`, {
    headers: { host: 'shop.example', 'x-request-id': 'request-1', 'x-deadline-ms': '900' },
  });
  await response.body.dump();
  return response.statusCode;
}

describe('connections to the store that fall silent', () => {
  const store = new StoreStandin();
  const replicas = ['gone', 'kept'].map((id) => new ReplicaStandin(id, 'ledger'));
  const relays: Relay[] = [];

  before(async () => {
    await store.start();
    await Promise.all(replicas.map((replica) => replica.start()));
  });

  after(async () => {
    await Promise.all([...relays, ...replicas, store].map((standin) => standin.stop()));
  });

  it('leave no node in contact without the changes that it missed, at any moment of its waits', async () => {
    store.put('op', 'config', createConfiguration(1));
    replicas.forEach((replica) => store.put('servers', replica.id, replica.createEntry()));
    const nodes = [];
    for (let index = 0; index < NODES; index += 1) {
      const relay = await Relay.start(Number(new URL(store.url).port));
      relays.push(relay);
      nodes.push(await startGateway({ storeUrl: `http://127.0.0.1:${relay.port}` }));
      await sleep(STAGGER_MS);
    }
    await sleep(STAGGER_MS);
    relays.forEach((relay) => relay.silenceOpenConnections());
    store.put('op', 'config', createConfiguration(2, [createRoute('/new/', 'ledger')]));
    store.remove('servers', 'gone');
    await sleep(CONTACT_MS);
    replicas[0].arrivals.splice(0);
    const statuses = await Promise.all(
      nodes.flatMap(({ url }) => ['/new/1', '/new/2', '/new/3'].map((path) => get(url, path))),
    );
    await Promise.all(nodes.map((node) => node.stop()));
    expect({
      statuses: [...new Set(statuses)],
      reachedGone: replicas[0].arrivals.length,
    }).to.deep.equal({ statuses: [200], reachedGone: 0 });
  });

  it('cost no further call an answer, since others that are open may be silent too', async () => {
    const relay = await Relay.start(Number(new URL(store.url).port));
    relays.push(relay);
    const client = new PlatformClient(`http://127.0.0.1:${relay.port}`, STORE_TIMEOUT_MS);
    const call = async (): Promise<boolean> =>
      (await client.send({ method: 'GET', path: '/api/rows-get?table=servers' })).isOk;
    await Promise.all([call(), call(), call()]);
    relay.silenceOpenConnections();
    const outcomes = [await call(), await call(), await call(), await call()];
    await client.close();
    expect(outcomes).to.deep.equal([false, true, true, true]);
  });
});

describe('the time limits of the feeds', () => {
  it('leave time for a listing before a node counts as in contact, and apply changes within their bounds', () => {
    const bounds = [
      { contactMs: 4_000, drainMs: 3_000, configApplyMs: 3_000 },
      { contactMs: 6_000, drainMs: 2_400, configApplyMs: 6_000 },
    ];
    expect(bounds.map(deriveFeedTiming)).toMatchSnapshot();
  });
});
