/**
 * Guards against entries of another writer among those of the replicas and nodes: one that cannot be read or used must
 * name no replica, and end neither a request nor a task, while the other entries hold and following goes on.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { createServer as createPeer } from 'node:net';
import type { AddressInfo } from 'node:net';
import bunyan from 'bunyan';
import { expect } from 'chai';
import type Result from 'true-myth/result';
import InstanceFeed from '@rhubarbcroft/platform/InstanceFeed';
import StoreNodeList from '@rhubarbcroft/platform/StoreNodeList';
import InstanceRegistry from 'rhubarbcroft/instances/InstanceRegistry';
import type Instance from 'rhubarbcroft/instances/Instance';
import CurrentRouting from 'rhubarbcroft/routes/CurrentRouting';
import PlatformClient from 'rhubarbcroft/store/PlatformClient';
import createGossipCodec from 'rhubarbcroft/gossip/createGossipCodec';
import PlatformFixture from '../platform/standins/PlatformFixture.js';
import ReplicaStandin from '../platform/standins/ReplicaStandin.js';
import StoreStandin from '../platform/standins/StoreStandin.js';
import startGateway from '../platform/standins/startGateway.js';
import ManualClock from '../support/ManualClock.js';
import sleep from '../support/sleep.js';

const log = bunyan.createLogger({ name: 'test', streams: [] });
const ENTRY = {
  service: 's',
  address: '10.0.0.9:8080',
  zone: 'a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  coldRemainingMs: 0.5,
  sequence: 4,
  born: 1_700_000_000_000,
};
const NESTED = `${'['.repeat(100_000)}${']'.repeat(100_000)}`;
const ODD_VALUES = {
  address: [
    '"10.0.0.9:99999"',
    '"10.0.0.9:0"',
    '"999.0.0.9:80"',
    '"10.0.0.09:80"',
    '"10.0.0.9"',
    '7',
  ],
  slots: ['1e400', '1e300', '9007199254740992', '-1', '0', '1.5', '"8"', 'null', NESTED],
  coldRemainingMs: ['1e400', '1e300', '"0"', NESTED],
  sequence: ['1e400', '1e300', '-1', '0.5', 'true', NESTED],
  born: ['1e400', '1e300', '-1', '0.5', '"0"', NESTED],
  service: ['7', 'null', NESTED],
  zone: ['7', 'null', NESTED],
  state: ['"resting"', NESTED],
  stage: ['"idle"', 'null', NESTED],
};
const ODD_TEXTS = ['', 'oops', 'null', '7', '"s"', '[]', '{}', NESTED, `{"a":${NESTED}`];

function createRegistry(): InstanceRegistry {
  const routing = new CurrentRouting();
  return new InstanceRegistry({ routing, clock: new ManualClock(), log, connectTimeoutMs: 100 });
}

function listIds(registry: InstanceRegistry): readonly string[] {
  return registry.listAvailable('s').map(({ instance }) => instance.id);
}

describe('an odd entry', () => {
  it('names no replica to use, and the other entries hold', async () => {
    const store = new StoreStandin();
    await store.start();
    store.put('servers', 'first', ENTRY);
    ODD_TEXTS.forEach((text, index) => store.put('servers', `text ${index}`, text));
    Object.entries(ODD_VALUES).forEach(([field, values]) =>
      values.forEach((value, index) => {
        const text = JSON.stringify({ ...ENTRY, [field]: '?' }).replace('"?"', () => value);
        store.put('servers', `${field}-${index}`, text);
      }),
    );
    ['line\nbreak', 'ünicode', 'x'.repeat(200)].forEach((id) => store.put('servers', id, ENTRY));
    store.put('servers', 'last', ENTRY);
    const client = new PlatformClient(store.url, 1_000);
    const page = await new InstanceFeed(client, log).list(AbortSignal.timeout(1_000));
    await client.close();
    await store.stop();
    const registry = createRegistry();
    if (page.isOk) {
      registry.replaceAll(page.value);
    }
    expect(listIds(registry)).to.deep.equal(['first', 'last']);
  });

  it('from a peer names no replica, and replaces the entry that it had before', () => {
    const sound: Instance = {
      id: 'a',
      service: 's',
      address: '10.0.0.9:8080',
      domain: 'a',
      slots: 8,
      isLeaving: false,
      stage: undefined,
      coldRemainingMs: 0,
      startedAtMs: 1_000,
      sequence: 1,
    };
    const registry = createRegistry();
    const apply = (version: number, ...values: readonly unknown[]): readonly string[] => {
      const rows = values.map((value, index) => ({ key: 'ab'[index], version, value }));
      registry.applyPeerPage({ version, rows: rows as never }, true);
      return listIds(registry);
    };
    expect([
      apply(1, sound, { ...sound, id: 'b', address: '10.0.0.9:99999' }),
      apply(2, sound, { ...sound, id: 'c' }),
      apply(3, sound, { id: 'b', service: 's' }),
      apply(4, { ...sound, slots: '8' }, { ...sound, id: 'b' }),
    ]).to.deep.equal([['a'], ['a'], ['a'], ['b']]);
  });

  it('with a port out of range fails no request and no task of a node, which follows the list further', async () => {
    const platform = new PlatformFixture();
    const odd = { ...ENTRY, address: '127.0.0.1:99999' };
    platform.store.put('servers', 'odd-1', { ...odd, service: 'ledger' });
    platform.store.put('servers', 'odd-2', { ...odd, service: 'model', stage: 'decode' });
    await platform.start();
    platform.decoders.forEach((decoder) =>
      Object.assign(decoder, { behaviour: ReplicaStandin.stream(2) }),
    );
    const statuses = new Set<number>();
    for (let count = 0; count < 8; count += 1) {
      statuses.add((await platform.call('/read/1')).status);
      statuses.add((await platform.call('/book/1', { body: 'b' })).status);
      statuses.add((await platform.generate('/audit/1', 900)).status);
    }
    platform.store.remove('servers', 'ledger-1');
    await sleep(1_500);
    await platform.reset();
    statuses.add((await platform.call('/read/1')).status);
    const arrivals = platform.ledgers.map((ledger) => ledger.arrivals.length);
    await platform.stop();
    const errors = platform.gateway.lines.filter(({ level }) => Number(level) >= bunyan.ERROR);
    expect({
      statuses: [...statuses],
      arrivals,
      errors: errors.map(({ msg }) => msg),
    }).to.deep.equal({
      statuses: [200],
      arrivals: [0, 1],
      errors: [],
    });
  });
});

describe('a page of the store', () => {
  /** Serves the bodies in turn, the last one for all further calls. */
  async function serve(...bodies: readonly string[]): Promise<{ server: Server; url: string }> {
    const rest = [...bodies];
    const server = createServer((_request, response) => {
      response.end(rest.length > 1 ? rest.shift() : rest[0]);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return { server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` };
  }

  async function read(...bodies: readonly string[]): Promise<unknown> {
    const { server, url } = await serve(...bodies);
    const client = new PlatformClient(url, 1_000);
    const feed = new InstanceFeed(client, log);
    const signal = AbortSignal.timeout(1_000);
    const settle = async (call: Promise<Result<unknown, unknown>>): Promise<string> =>
      call.then(
        (result) => (result.isOk ? JSON.stringify(result.value) : 'failed'),
        () => 'thrown',
      );
    const outcome = {
      list: await settle(feed.list(signal)),
      changes: await settle(feed.waitForChanges(1, signal)),
      nodes: await settle(new StoreNodeList(client).read()),
    };
    await client.close();
    server.close();
    return outcome;
  }

  it('that is malformed fails the call and not the task that makes it', async () => {
    const bodies = [
      '',
      'oops',
      'null',
      '7',
      '{}',
      NESTED,
      '{"rows":7,"ver":1}',
      '{"rows":[],"ver":"1"}',
    ];
    const rows = ['null', '7', '{"ver":1}', '{"key":7,"ver":1}'];
    const all = [...bodies, ...rows.map((row) => `{"rows":[${row}],"ver":1}`)];
    const outcomes = await Promise.all(all.map((body) => read(body)));
    expect(outcomes).to.deep.equal(
      all.map(() => ({ list: 'failed', changes: 'failed', nodes: 'failed' })),
    );
  });

  it('of the node list may be followed by others, and may hold rows of another writer', async () => {
    const { server, url } = await serve(
      '{"rows":[{"key":"10.0.0.1:7380","value":"YQ==","ver":1}],"ver":3,"morePages":true}',
      '{"rows":[{"key":"x","ver":2},{"key":"y","value":7,"ver":3},{"key":"10.0.0.2:7380","value":"Yg=="}],"ver":3}',
    );
    const client = new PlatformClient(url, 1_000);
    const nodes = await new StoreNodeList(client).read();
    await client.close();
    server.close();
    expect(nodes.unwrapOr([])).to.deep.equal([
      { address: '10.0.0.1:7380', domain: 'a' },
      { address: '10.0.0.2:7380', domain: 'b' },
    ]);
  });
});

describe('an odd address or message of a peer', () => {
  it('ends no task of a node, which goes on asking its peers', async () => {
    const tells = [
      7,
      null,
      {},
      { nodes: 7 },
      { nodes: [], instances: 7 },
      { nodes: [], instances: { version: 9, rows: 7 } },
      { nodes: [], instances: { version: 9, rows: [7] } },
      { nodes: [], routing: { version: 9 } },
    ];
    const codec = createGossipCodec();
    let asked = 0;
    const peer = createPeer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        asked += 1;
        const knowledge = tells[asked % tells.length];
        socket.end(codec.encode({ type: 'tell', knowledge } as never));
      });
    });
    peer.listen(0, '127.0.0.1');
    await once(peer, 'listening');
    const address = `127.0.0.1:${(peer.address() as AddressInfo).port}`;
    const seedPeers = ['127.0.0.1:99999', '10.0.0.9', address];
    const node = await startGateway({ storeUrl: 'http://127.0.0.1:1', seedPeers }, false);
    await sleep(5_000);
    await node.stop();
    peer.close();
    const errors = node.lines.filter(({ level }) => Number(level) >= bunyan.ERROR);
    expect(errors.map(({ msg, err }) => [msg, String(err)])).to.deep.equal([]);
    expect(asked).to.be.greaterThan(tells.length);
  });

  it('that is deeply nested is a malformed frame', () => {
    const body = Buffer.alloc(1_000_000, 0x81);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(body.length);
    const messages = createGossipCodec().decode(Buffer.concat([length, body]));
    expect(messages.isErr && messages.error.code).to.equal('FRAME_MALFORMED');
  });
});
