/**
 * A forwarding node on the platform's protocol, between callers and stand-ins for the store and the replicas: retries,
 * validation of answers, changes of the configuration, and rejected requests.
 */
import { connect } from 'node:net';
import { once } from 'node:events';
import { expect } from 'chai';
import { request as sendRequest } from 'undici';
import type Arrival from './standins/Arrival.js';
import ReplicaStandin from './standins/ReplicaStandin.js';
import PlatformFixture from './standins/PlatformFixture.js';
import createConfiguration from './standins/createConfiguration.js';
import createRoute from './standins/createRoute.js';
import startGateway from './standins/startGateway.js';
import sleep from '../support/sleep.js';

/** Headers reserved for the system, which it must not forward when a caller sends them. */
const SYSTEM_HEADERS = {
  'x-kv-hold': 'h',
  'x-pin-ms': '9',
  'x-kv-source': '1.2.3.4:5/x',
  'x-stage': 'prefill',
  'x-expect-instance': 'other',
};

describe('a forwarding node on the platform', () => {
  const platform = new PlatformFixture();
  const { store, ledgers, replicas } = platform;
  const { countArrivals } = PlatformFixture;

  before(() => platform.start());
  beforeEach(() => platform.reset());
  after(() => platform.stop());

  it('forwards a request unchanged, without the headers reserved for the system', async () => {
    const answer = await platform.call('/book/1?x=%20y', { body: 'one', headers: SYSTEM_HEADERS });
    const [arrival] = [...ledgers[0].arrivals, ...ledgers[1].arrivals];
    const { id, method, path, body, headers } = arrival;
    const forwarded = Object.fromEntries(
      Object.keys(SYSTEM_HEADERS).map((name) => [name, headers[name] ?? null]),
    );
    const remainingMs = Number(headers['x-deadline-ms']);
    expect(answer.body).to.equal(`answer to ${id} one`);
    expect(answer.signature).to.equal(`seal-${id}`);
    expect({
      method,
      path,
      body,
      kept: { ...forwarded, 'x-expect-instance': 'an instance' },
    }).toMatchSnapshot();
    expect(String(forwarded['x-expect-instance'])).to.match(/^ledger-\d$/);
    expect(remainingMs).to.be.within(1_000, 1_500);
  });

  it('retries a failed idempotent request at another endpoint', async () => {
    ledgers[0].behaviour = ReplicaStandin.fail;
    ledgers[1].behaviour = ReplicaStandin.resetConnection;
    const failed = await platform.call('/read/1');
    ledgers[1].behaviour = ReplicaStandin.answer;
    await sleep(600);
    const answers = await Promise.all([
      platform.call('/read/2'),
      platform.call('/read/3'),
      platform.call('/read/4'),
    ]);
    expect([failed.status, answers.map(({ status }) => status)]).to.deep.equal([
      500,
      [200, 200, 200],
    ]);
  });

  it('answers 502 without a retry when a non-idempotent request may have run', async () => {
    ledgers.forEach((ledger) =>
      Object.assign(ledger, { behaviour: ReplicaStandin.resetConnection }),
    );
    const answer = await platform.call('/book/1', { body: 'one' });
    expect([answer.status, countArrivals(ledgers)]).to.deep.equal([502, 1]);
  });

  it('retries a declined request at another endpoint, and answers 503 when all decline', async () => {
    ledgers[0].behaviour = ReplicaStandin.decline;
    const retried = await Promise.all(
      [1, 2, 3].map(() => platform.call('/book/1', { body: 'one' })),
    );
    ledgers[1].behaviour = ReplicaStandin.decline;
    const refused = await platform.call('/book/1', { body: 'one' });
    expect(retried.map(({ status }) => status)).to.deep.equal([200, 200, 200]);
    expect([refused.status, Number(refused.retryAfter) > 0]).to.deep.equal([503, true]);
  });

  it('answers 504 when no endpoint has answered by the deadline', async () => {
    ledgers.forEach((ledger) => Object.assign(ledger, { behaviour: () => undefined }));
    const startedAtMs = performance.now();
    const answer = await platform.call('/book/1', {
      body: 'one',
      headers: { 'x-deadline-ms': '700' },
    });
    expect(answer.status).to.equal(504);
    expect(performance.now() - startedAtMs).to.be.within(600, 1_100);
  });

  it('answers 502 instead of passing on an unsigned answer or one for another request', async () => {
    ledgers.forEach((ledger, index) =>
      Object.assign(ledger, {
        behaviour: ({ response, id }: Arrival) => {
          const headers =
            index === 0 ? { 'x-request-id': id } : { 'x-request-id': 'z', 'x-response-seal': 's' };
          response.writeHead(200, headers);
          response.end('not yours');
        },
      }),
    );
    const answers = await Promise.all(
      [1, 2, 3, 4].map(() => platform.call('/book/1', { body: 'b' })),
    );
    expect(answers.map(({ status }) => status)).to.deep.equal([502, 502, 502, 502]);
  });

  it('answers invalid requests itself, and forwards no smuggled request', async () => {
    const socket = connect(Number(new URL(platform.gateway.url).port), '127.0.0.1');
    socket.write(
      'POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: s-1\r\ncontent-length: 5\r\n' +
        'transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /read/1 HTTP/1.1\r\nhost: shop.example\r\n\r\n',
    );
    const [smuggled] = (await once(socket, 'data')) as [Buffer];
    socket.destroy();
    const statuses = await Promise.all([
      platform.call('/unknown/'),
      platform.call('/book/1', { body: 'x', headers: { 'x-request-id': 'two, ids' } }),
      platform.call('/book/1', { body: 'x'.repeat(70_000) }),
      platform.call('/read/1', { headers: { 'x-long': 'y'.repeat(5_000) } }),
    ]);
    expect({
      smuggled: smuggled.toString('latin1').split('\r\n')[0],
      statuses: statuses.map(({ status }) => status),
      reached: countArrivals(replicas),
    }).toMatchSnapshot();
  });

  it('applies a new configuration at once, and sends nothing to a draining endpoint', async () => {
    store.put('op', 'config', createConfiguration(5, [createRoute('/new/', 'ledger')]));
    store.put('servers', 'ledger-1', ledgers[0].createEntry({ state: 'draining', sequence: 2 }));
    await sleep(200);
    const answers = await Promise.all([1, 2, 3, 4].map(() => platform.call('/new/1')));
    store.expireHistory();
    store.put('servers', 'ledger-1', ledgers[0].createEntry({ sequence: 3 }));
    await sleep(200);
    expect(answers.map(({ status }) => status)).to.deep.equal([200, 200, 200, 200]);
    expect(ledgers[0].arrivals.length).to.equal(0);
  });

  it('supplies a node that starts during a store outage with routes and instances', async () => {
    store.setFaultMode('reset');
    const second = await startGateway({
      storeUrl: store.url,
      seedPeers: [platform.gateway.peerAddress, '127.0.0.1:1'],
    });
    const response = await sendRequest(`${second.url}/read/1`, {
      headers: { host: 'shop.example', 'x-request-id': 'second', 'x-deadline-ms': '900' },
    });
    await response.body.dump();
    store.setFaultMode('none');
    await second.stop();
    expect(response.statusCode).to.equal(200);
  });

  it('serves metrics as text, and logs the details of an answered attempt', async () => {
    await platform.call('/read/9');
    const { body } = await sendRequest(platform.gateway.metricsUrl);
    const text = await body.text();
    const line = platform.gateway.lines.find(
      ({ msg, requestId }) => msg === 'attempt answered' && requestId === platform.lastRequestId,
    );
    expect(text).to.match(
      /rhubarbcroft_requests\{kind="idempotent",rank="1",outcome="answered"\} \d+/,
    );
    expect(Object.keys(line ?? {}).sort()).toMatchSnapshot();
  });
});
