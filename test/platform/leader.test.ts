/** Nodes of a large domain that follow the store through one of them. */
import { expect } from 'chai';
import { request as sendRequest } from 'undici';
import ReplicaStandin from './standins/ReplicaStandin.js';
import StoreStandin from './standins/StoreStandin.js';
import createConfiguration from './standins/createConfiguration.js';
import createRoute from './standins/createRoute.js';
import startGateway from './standins/startGateway.js';
import sleep from '../support/sleep.js';

type Gateway = Awaited<ReturnType<typeof startGateway>>;

const NODES = 6;
/** By when a change must be in force on every node (the platform's bounds). */
const IN_FORCE_MS = 3_000;
/** From the start until the nodes have read the list of all nodes, and one has been polled for the others. */
const SETTLED_MS = 10_000;

describe('nodes that follow the store through a neighbour', function suite() {
  this.timeout(60_000);
  const store = new StoreStandin();
  const ledgers = [1, 2].map((at) => new ReplicaStandin(`ledger-${at}`, 'ledger'));
  let nodes: readonly Gateway[] = [];

  before(async () => {
    await store.start();
    await Promise.all(ledgers.map((ledger) => ledger.start()));
    store.put('op', 'config', createConfiguration(3));
    ledgers.forEach((ledger) => store.put('servers', ledger.id, ledger.createEntry()));
    while (nodes.length < NODES) {
      nodes = [...nodes, await startGateway({ storeUrl: store.url })];
    }
    await sleep(SETTLED_MS);
  });

  after(async () => {
    await Promise.all(nodes.map((node) => node.stop()));
    await Promise.all(ledgers.map((ledger) => ledger.stop()));
    await store.stop();
  });

  function find(message: string): readonly Gateway[] {
    return nodes.filter(({ lines }) => lines.some(({ msg }) => msg === message));
  }

  async function callAll(path: string, living = nodes): Promise<readonly number[]> {
    return Promise.all(
      living.map(async ({ url }, at) => {
        const { statusCode, body } = await sendRequest(`${url}${path}`, {
          headers: { host: 'shop.example', 'x-request-id': `${path} ${at}`.replace(' ', '-') },
        });
        await body.dump();
        return statusCode;
      }),
    );
  }

  it('make no calls of their own while nothing changes', async () => {
    expect(find('following the store through a neighbour').length).to.equal(NODES - 1);
    store.calls.splice(0);
    await sleep(4_000);
    // The leader alone: two tables, a call a second each, and one more of each for the edges of the span.
    expect(store.calls.length).to.be.at.most(10);
  });

  it('put a configuration in force, and heed an endpoint that leaves, as soon as the others', async () => {
    store.put('op', 'config', createConfiguration(5, [createRoute('/new/', 'ledger')]));
    store.put('servers', 'ledger-1', ledgers[0].createEntry({ state: 'draining', sequence: 2 }));
    await sleep(IN_FORCE_MS);
    ledgers.forEach(({ arrivals }) => arrivals.splice(0));
    expect(await callAll('/new/x')).to.deep.equal(nodes.map(() => 200));
    expect(ledgers.map(({ arrivals }) => arrivals.length)).to.deep.equal([0, NODES]);
  });

  it('turn to the store themselves when their leader ends', async () => {
    const followers = find('following the store through a neighbour');
    const leader = nodes.find((node) => !followers.includes(node));
    await leader?.stop();
    nodes = followers;
    store.put('op', 'config', createConfiguration(9, [createRoute('/later/', 'ledger')]));
    await sleep(IN_FORCE_MS);
    expect(await callAll('/later/x')).to.deep.equal(nodes.map(() => 200));
  });

  it('turn to the store themselves when their leader no longer hears from it', async () => {
    store.setTrouble('silent');
    await sleep(2_500);
    expect(find('leader lost; following the store directly').length).to.be.greaterThan(0);
    store.setTrouble('none');
    store.put('op', 'config', createConfiguration(12, [createRoute('/last/', 'ledger')]));
    await sleep(IN_FORCE_MS);
    expect(await callAll('/last/x')).to.deep.equal(nodes.map(() => 200));
  });
});
