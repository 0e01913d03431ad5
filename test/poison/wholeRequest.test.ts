/**
 * Guards against a request without a prompt that crashes each replica that runs it and comes again at any node: it would
 * end all replicas of its service one after the other, and with them the bookings that run there.
 */
import { expect } from 'chai';
import { request as sendRequest } from 'undici';
import type CrashReport from 'rhubarbcroft/decisions/poison/CrashReport';
import QuarantineKeeper from 'rhubarbcroft/forwarding/QuarantineKeeper';
import createRequestKey from 'rhubarbcroft/forwarding/createRequestKey';
import type Arrival from '../platform/standins/Arrival.js';
import ReplicaStandin from '../platform/standins/ReplicaStandin.js';
import StoreStandin from '../platform/standins/StoreStandin.js';
import createConfiguration from '../platform/standins/createConfiguration.js';
import startGateway from '../platform/standins/startGateway.js';
import ManualClock from '../support/ManualClock.js';
import createForwardContext from '../support/createForwardContext.js';
import createForwardRequest from '../support/createForwardRequest.js';
import sleep from '../support/sleep.js';

/** Nodes read the list of nodes 3 s after their start. */
const SETTLE_MS = 4_000;
const WORK_MS = 60;
const DEADLY = /deadly/;

describe('a request that crashes each replica that runs it', () => {
  const store = new StoreStandin();
  const replicas = Array.from(
    { length: 8 },
    (_unused, at) => new ReplicaStandin(`ledger-${at}`, 'ledger'),
  );
  const ended = new Set<ReplicaStandin>();
  const crashedBy: string[] = [];
  let nodes: readonly Awaited<ReturnType<typeof startGateway>>[] = [];
  let calls = 0;

  async function behave(replica: ReplicaStandin, arrival: Arrival): Promise<void> {
    await sleep(WORK_MS);
    if (DEADLY.test(arrival.path) && !ended.has(replica)) {
      ended.add(replica);
      crashedBy.push(arrival.path);
      await replica.stop();
    } else if (!arrival.socket.destroyed) {
      ReplicaStandin.answer(arrival);
    }
  }

  async function call(path: string, body?: string): Promise<string> {
    calls += 1;
    const response = await sendRequest(`${nodes[calls % nodes.length].url}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      body: body ?? null,
      headers: {
        host: 'shop.example',
        'x-request-id': `request-${calls}`,
        'x-deadline-ms': '1500',
      },
    });
    await response.body.dump();
    const isHeld = Number(response.headers['retry-after'] ?? 0) > 1;
    return `${response.statusCode}${isHeld ? ', held' : ''}`;
  }

  before(async () => {
    await Promise.all([store.start(), ...replicas.map((replica) => replica.start())]);
    store.put('op', 'config', createConfiguration(3));
    replicas.forEach((replica) => {
      Object.assign(replica, { behaviour: (arrival: Arrival) => behave(replica, arrival) });
      store.put('servers', replica.id, replica.createEntry());
    });
    nodes = [await startGateway({ storeUrl: store.url })];
    nodes = [...nodes, await startGateway({ storeUrl: store.url })];
    await sleep(SETTLE_MS);
  });

  after(async () => {
    await Promise.all(nodes.map((node) => node.stop()));
    await Promise.all(replicas.filter((one) => !ended.has(one)).map((one) => one.stop()));
    await store.stop();
  });

  for (const { kind, path, body } of [
    { kind: 'idempotent', path: '/read/deadly', body: undefined },
    { kind: 'not idempotent', path: '/book/deadly', body: 'one' },
  ]) {
    it(`is held by all nodes after two crashes, if it is ${kind}, and no other request is`, async () => {
      crashedBy.splice(0);
      const outcomes: string[] = [];
      for (let round = 0; round < 6; round += 1) {
        const beside = [`/read/${kind[0]}${round}`, `/read/${kind[0]}${round}x`].map((sound) =>
          call(sound),
        );
        outcomes.push(await call(path, body));
        expect(await Promise.all(beside)).to.deep.equal(['200', '200']);
        await sleep(200);
      }
      expect([crashedBy.length, outcomes.slice(-3)]).to.deep.equal([
        2,
        ['503, held', '503, held', '503, held'],
      ]);
    });
  }

  it('is recognised by what its endpoint gets, and not by what differs between attempts', () => {
    const rawHeaders = ['Host', 'h', 'X-Request-Id', 'a'];
    const key = createRequestKey(createForwardRequest({ rawHeaders }));
    const changed = [
      { rawHeaders, path: '/other' },
      { rawHeaders, method: 'PUT' },
      { rawHeaders, body: Buffer.from('body') },
      { rawHeaders: [...rawHeaders, 'Authorization', 'token'] },
      { rawHeaders: ['Host', 'other'] },
      { rawHeaders: ['X-Request-Id', 'b', 'Host', 'h'] },
    ].map((change) => createRequestKey(createForwardRequest(change)) === key);
    expect(changed).to.deep.equal([false, false, false, false, false, true]);
  });

  it('is repeated to the peers within limits, beginning with the crash that led to a verdict, whatever its size', () => {
    const keeper = new QuarantineKeeper(createForwardContext(new ManualClock()), {
      countNodesAhead: () => 0,
      isRefused: async () => true,
    });
    const createReport = (run: string, count: number): CrashReport => ({
      run,
      atMs: 1,
      prompts: Array.from({ length: count }, (_unused, at) => [`request:${run}-${at}`]),
      provenBefore: [],
      cleared: [],
    });
    keeper.merge(
      ['small-1', 'small-2', 'small-3'].map((run) => createReport(run, 40)),
      [],
    );
    const small = keeper.listReports().length;
    const large = [createReport('large-1', 200), createReport('large-2', 200)].map((report) => ({
      ...report,
      prompts: [...report.prompts, ['request:deadly']],
    }));
    keeper.merge(large, []);
    expect([small, keeper.listReports().map(({ run }) => run)]).to.deep.equal([2, ['large-1']]);
  });
});
