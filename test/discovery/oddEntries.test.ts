/**
 * Guards against entries of another writer among those of the replicas and nodes: one that cannot be read or used must
 * name no replica, and end neither a request nor a task, while the other entries hold and following goes on.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import { createServer as createPeer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import bunyan from 'bunyan';
import { expect } from 'chai';
import InstanceFeed from '@rhubarbcroft/platform/InstanceFeed';
import StoreNodeList from '@rhubarbcroft/platform/StoreNodeList';
import decodeInstance from '@rhubarbcroft/platform/decodeInstance';
import createGossipCodec from 'rhubarbcroft/gossip/createGossipCodec';
import InstanceRegistry from 'rhubarbcroft/instances/InstanceRegistry';
import CurrentRouting from 'rhubarbcroft/routes/CurrentRouting';
import PlatformClient from 'rhubarbcroft/store/PlatformClient';
import PlatformFixture from '../platform/standins/PlatformFixture.js';
import ReplicaStandin from '../platform/standins/ReplicaStandin.js';
import startGateway from '../platform/standins/startGateway.js';
import ManualClock from '../support/ManualClock.js';
import sleep from '../support/sleep.js';

const log = bunyan.createLogger({ name: 'test', streams: [] });
const ENTRY = {
  ...{ service: 's', address: '10.0.0.9:8080', zone: 'a', version: 'v1', slots: 8, state: 'ready' },
  ...{ coldRemainingMs: 0.5, sequence: 4, born: 1_700_000_000_000 },
};
const NESTED = `${'['.repeat(100_000)}${']'.repeat(100_000)}`;
const ODD_VALUES = {
  address: '"10.0.0.9:99999" "10.0.0.9:0" "999.0.0.9:80" "10.0.0.09:80" "10.0.0.9" 7',
  slots: '1e400 1e300 9007199254740992 -1 0 1.5 "8" null',
  coldRemainingMs: '1e400 1e300 "0"',
  sequence: '1e400 1e300 -1 0.5 true',
  born: '1e400 1e300 -1 0.5 "0"',
  service: '7 null',
  zone: '7 null',
  state: '"resting"',
  stage: '"idle" null',
};
const ODD_TEXTS = ['', 'oops', 'null', '7', '"s"', '[]', '{}', NESTED, `{"a":${NESTED}`];
const ODD_IDS = ['line\nbreak', 'ünicode', 'x'.repeat(200)];

async function listen(server: Server): Promise<string> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function listErrors(lines: readonly Readonly<Record<string, unknown>>[]): readonly unknown[] {
  return lines.filter(({ level }) => Number(level) >= bunyan.ERROR).map(({ msg }) => msg);
}

/** Serves the bodies in turn as pages of the store, the last one for all further calls, to one reader. */
async function withStore<Value>(
  bodies: readonly string[],
  read: (client: PlatformClient) => Promise<Value>,
): Promise<Value> {
  let calls = 0;
  const server = createServer((_request, response) => {
    response.end(bodies[Math.min(calls, bodies.length - 1)]);
    calls += 1;
  });
  const client = new PlatformClient(`http://${await listen(server)}`, 1_000);
  const value = await read(client);
  await client.close();
  server.close();
  return value;
}

describe('an odd entry', () => {
  let registry: InstanceRegistry;
  const listIds = (): readonly string[] =>
    registry.listAvailable('s').map(({ instance }) => instance.id);

  beforeEach(() => {
    const options = { clock: new ManualClock(), log, connectTimeoutMs: 100 };
    registry = new InstanceRegistry({ ...options, routing: new CurrentRouting() });
  });

  it('names no replica to use, and the other entries hold', async () => {
    const sound = JSON.stringify(ENTRY);
    const odd = Object.entries(ODD_VALUES).flatMap(([field, values]) =>
      [...values.split(' '), NESTED].map((value) => {
        const text = JSON.stringify({ ...ENTRY, [field]: '?' }).replace('"?"', () => value);
        return [`${field} ${value}`.slice(0, 40).replaceAll(' ', '-'), text];
      }),
    );
    const texts = ODD_TEXTS.map((text, index) => [`text-${index}`, text]);
    const entries = [['a', sound], ...odd, ...texts, ...ODD_IDS.map((id) => [id, sound])];
    const rows = [...entries, ['z', sound]].map(([key, text]) => ({
      ...{ key, ver: 1, value: Buffer.from(text).toString('base64') },
    }));
    const page = await withStore([JSON.stringify({ rows, ver: 1 })], (client) =>
      new InstanceFeed(client, log).list(AbortSignal.timeout(5_000)),
    );
    registry.replaceAll(page.unwrapOr({ version: 0, rows: [] }));
    expect(listIds()).to.deep.equal(['a', 'z']);
  });

  it('from a peer names no replica, and replaces the entry that it had before', () => {
    const sound = decodeInstance('a', ENTRY);
    const apply = (version: number, ...values: readonly unknown[]): readonly string[] => {
      const rows = values.map((value, index) => ({ key: 'ab'[index], version, value }));
      registry.applyPeerPage({ version, rows: rows as never }, true);
      return listIds();
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
    await platform.call('/read/1');
    const arrivals = platform.ledgers.map((ledger) => ledger.arrivals.length);
    await platform.stop();
    const outcome = {
      statuses: [...statuses],
      arrivals,
      errors: listErrors(platform.gateway.lines),
    };
    expect(outcome).to.deep.equal({ statuses: [200], arrivals: [0, 1], errors: [] });
  });
});

describe('a page of the store', () => {
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
    const outcomes = all.map((body) =>
      withStore([body], async (client) => {
        const feed = new InstanceFeed(client, log);
        const signal = AbortSignal.timeout(1_000);
        const changes = await feed.waitForChanges(1, { holdMs: 100, timeoutMs: 900 }, signal);
        const nodes = await new StoreNodeList(client).read();
        return (await feed.list(signal)).isErr && changes.isErr && nodes.isErr;
      }),
    );
    expect(await Promise.all(outcomes)).to.deep.equal(all.map(() => true));
  });

  it('of the node list may be followed by others, and may hold rows of another writer', async () => {
    const bodies = [
      '{"rows":[{"key":"10.0.0.1:7380","value":"YQ==","ver":1}],"ver":3,"morePages":true}',
      '{"rows":[{"key":"x","ver":2},{"key":"y","value":7,"ver":3},{"key":"10.0.0.2:7380","value":"Yg=="}],"ver":3}',
    ];
    const nodes = await withStore(bodies, (client) => new StoreNodeList(client).read());
    expect(nodes.unwrapOr([]).map(({ address, domain }) => `${address} ${domain}`)).to.deep.equal([
      '10.0.0.1:7380 a',
      '10.0.0.2:7380 b',
    ]);
  });
});

describe('an odd address or message of a peer', () => {
  it('ends no task of a node, which goes on asking its peers', async () => {
    const codec = createGossipCodec();
    const pages = [7, { version: 9, rows: 7 }, { version: 9, rows: [7] }];
    const tells = [
      ...[7, null, {}, { nodes: 7 }, { nodes: ['10.0.0.9:99999', '10.0.0.9', 7, null] }],
      ...[
        { nodes: [], routing: { version: 9 } },
        ...pages.map((instances) => ({ nodes: [], instances })),
      ],
    ];
    let asked = 0;
    const peer = createPeer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        asked += 1;
        socket.end(codec.encode({ type: 'tell', knowledge: tells[asked % tells.length] } as never));
      });
    });
    const seedPeers = ['127.0.0.1:99999', '10.0.0.9', await listen(peer)];
    const node = await startGateway({ storeUrl: 'http://127.0.0.1:1', seedPeers }, false);
    await sleep(6_000);
    await node.stop();
    peer.close();
    expect(listErrors(node.lines)).to.deep.equal([]);
    expect(asked).to.be.greaterThan(tells.length);
  });

  it('that is deeply nested is a malformed frame', () => {
    const frame = Buffer.alloc(1_000_000, 0x81);
    frame.writeUInt32BE(frame.length - 4);
    const messages = createGossipCodec().decode(frame);
    expect(messages.isErr && messages.error.code).to.equal('FRAME_MALFORMED');
  });
});
