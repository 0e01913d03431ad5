/**
 * The forwarding node on the platform's protocol, between callers, the store and replicas of the test's
 * own: what may be repeated and what may not, whole answers, streams that go on, prefill and hand-over,
 * callers who leave, and refusals.
 */
import { connect } from 'node:net';
import { once } from 'node:events';
import { expect } from 'chai';
import { request as sendRequest } from 'undici';
import ReplicaStandin from './standins/ReplicaStandin.js';
import StoreStandin from './standins/StoreStandin.js';
import startGateway from './standins/startGateway.js';
import sleep from '../support/sleep.js';

interface Answer {
  readonly status: number;
  readonly body: string;
  readonly seal: string | undefined;
  readonly retryAfter: string | undefined;
}

const SYSTEM_HEADERS = {
  'x-kv-hold': 'h',
  'x-pin-ms': '9',
  'x-kv-source': '1.2.3.4:5/x',
  'x-stage': 'prefill',
  'x-expect-instance': 'other',
};

function route(
  prefix: string,
  service: string,
  options: Readonly<Record<string, unknown>> = {},
): unknown {
  return {
    name: prefix,
    host: 'shop.example',
    prefix,
    kind: 'idempotent',
    timeoutMs: 2_000,
    targetLatencyMs: 400,
    priority: 1,
    maxAttempts: 2,
    sticky: false,
    service,
    ...options,
  };
}

function createConfiguration(version: number, extra: readonly unknown[] = []): unknown {
  return {
    version,
    routes: [
      route('/read/', 'ledger'),
      route('/book/', 'ledger', { kind: 'non_idempotent', maxAttempts: 1 }),
      route('/audit/', 'model', { kind: 'streaming', sticky: true, resumable: true }),
      route('/verdict/', 'model', { kind: 'streaming', sticky: true, maxAttempts: 1 }),
      ...extra,
    ],
    services: [
      { name: 'ledger', healthPath: '/health', maxConnections: 100 },
      {
        name: 'model',
        healthPath: '/health',
        maxConnections: 100,
        engine: { slots: 8, kvCapacityTokens: 400_000, kvTokenBytes: 35_136, linkMbps: 740_000 },
      },
    ],
    limits: {
      maxHeaderBytes: 4_096,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

describe('a forwarding node on the platform', () => {
  const store = new StoreStandin();
  const ledgers = [1, 2].map((at) => new ReplicaStandin(`ledger-${at}`, 'ledger'));
  const prefiller = new ReplicaStandin('prefill-1', 'model', 'prefill');
  const decoders = [1, 2].map((at) => new ReplicaStandin(`decode-${at}`, 'model', 'decode'));
  const replicas = [...ledgers, prefiller, ...decoders];
  let gateway: Awaited<ReturnType<typeof startGateway>>;
  let nextId = 0;

  before(async () => {
    await store.start();
    await Promise.all(replicas.map((replica) => replica.start()));
    store.put('op', 'config', createConfiguration(3));
    replicas.forEach((replica) => store.put('servers', replica.id, replica.createEntry()));
    store.put('servers', 'foreign', '{"service":"ledger","address":7}');
    gateway = await startGateway({ storeUrl: store.url });
  });

  beforeEach(async () => {
    replicas.forEach((replica) => {
      Object.assign(replica, { behaviour: ReplicaStandin.answer });
      replica.arrivals.splice(0);
      replica.released.splice(0);
    });
    await sleep(300);
  });

  after(async () => {
    await gateway.stop();
    await Promise.all(replicas.map((replica) => replica.stop()));
    await store.stop();
  });

  async function call(
    path: string,
    options: {
      readonly body?: string;
      readonly headers?: Readonly<Record<string, string>>;
      readonly signal?: AbortSignal;
    } = {},
  ): Promise<Answer> {
    nextId += 1;
    const response = await sendRequest(`${gateway.url}${path}`, {
      method: options.body === undefined ? 'GET' : 'POST',
      body: options.body ?? null,
      signal: options.signal ?? null,
      headers: {
        host: 'shop.example',
        'x-request-id': `r-${nextId}`,
        'x-deadline-ms': '1500',
        ...options.headers,
      },
    });
    const { headers, statusCode } = response;
    return {
      status: statusCode,
      seal: headers['x-response-seal'] as string | undefined,
      retryAfter: headers['retry-after'] as string | undefined,
      body: await response.body.text().catch((error: Error) => (error.name === '' ? '' : 'cut')),
    };
  }

  function generate(path: string, promptTokens: number, signal?: AbortSignal): Promise<Answer> {
    return call(path, {
      body: 'prompt',
      headers: {
        'x-model': 'm',
        'x-token-count': `${promptTokens},40`,
        'x-prefix-hash': `own-${nextId}:${promptTokens}`,
        'x-length-hint': '10',
      },
      ...(signal === undefined ? {} : { signal }),
    });
  }

  function countArrivals(of: readonly ReplicaStandin[]): number {
    return of.reduce((sum, { arrivals }) => sum + arrivals.length, 0);
  }

  it('passes a call on unchanged, without headers that are the system’s to set', async () => {
    const answer = await call('/book/1?x=%20y', { body: 'one', headers: SYSTEM_HEADERS });
    const [arrival] = [...ledgers[0].arrivals, ...ledgers[1].arrivals];
    const { id, method, path, body, headers } = arrival;
    const kept = Object.fromEntries(
      Object.keys(SYSTEM_HEADERS).map((name) => [name, headers[name] ?? null]),
    );
    const left = Number(headers['x-deadline-ms']);
    expect(answer.body).to.equal(`answer to ${id} one`);
    expect(answer.seal).to.equal(`seal-${id}`);
    expect({
      method,
      path,
      body,
      kept: { ...kept, 'x-expect-instance': 'an instance' },
    }).toMatchSnapshot();
    expect(String(kept['x-expect-instance'])).to.match(/^ledger-\d$/);
    expect(left).to.be.within(1_000, 1_500);
  });

  it('repeats an idempotent call that failed, at another endpoint', async () => {
    ledgers[0].behaviour = ReplicaStandin.fail;
    ledgers[1].behaviour = ReplicaStandin.breakOff;
    const failed = await call('/read/1');
    ledgers[1].behaviour = ReplicaStandin.answer;
    await sleep(600);
    const answers = await Promise.all([call('/read/2'), call('/read/3'), call('/read/4')]);
    expect([failed.status, answers.map(({ status }) => status)]).to.deep.equal([
      500,
      [200, 200, 200],
    ]);
  });

  it('never repeats a call that may have run, and promises nothing about it', async () => {
    ledgers.forEach((ledger) => Object.assign(ledger, { behaviour: ReplicaStandin.breakOff }));
    const answer = await call('/book/1', { body: 'one' });
    expect([answer.status, countArrivals(ledgers)]).to.deep.equal([502, 1]);
  });

  it('sends a call that an endpoint declined elsewhere, and refuses it as not run if all decline', async () => {
    ledgers[0].behaviour = ReplicaStandin.decline;
    const moved = await Promise.all([1, 2, 3].map(() => call('/book/1', { body: 'one' })));
    ledgers[1].behaviour = ReplicaStandin.decline;
    const refused = await call('/book/1', { body: 'one' });
    expect(moved.map(({ status }) => status)).to.deep.equal([200, 200, 200]);
    expect([refused.status, Number(refused.retryAfter) > 0]).to.deep.equal([503, true]);
  });

  it('ends a call that is still unanswered when its route’s time is over', async () => {
    ledgers.forEach((ledger) => Object.assign(ledger, { behaviour: () => undefined }));
    const startedAtMs = performance.now();
    const answer = await call('/book/1', { body: 'one', headers: { 'x-deadline-ms': '700' } });
    expect(answer.status).to.equal(504);
    expect(performance.now() - startedAtMs).to.be.within(600, 1_100);
  });

  it('does not pass on an answer that is unsigned or belongs to another request', async () => {
    ledgers.forEach((ledger, at) =>
      Object.assign(ledger, {
        behaviour: ({ response, id }: { response: ServerResponseLike; id: string }) => {
          const headers =
            at === 0 ? { 'x-request-id': id } : { 'x-request-id': 'z', 'x-response-seal': 's' };
          response.writeHead(200, headers);
          response.end('not yours');
        },
      }),
    );
    const answers = await Promise.all([1, 2, 3, 4].map(() => call('/book/1', { body: 'b' })));
    expect(answers.map(({ status }) => status)).to.deep.equal([502, 502, 502, 502]);
  });

  it('prefills on one engine and continues on another, and passes the stream on', async () => {
    decoders.forEach((decoder) => Object.assign(decoder, { behaviour: ReplicaStandin.stream(5) }));
    const answer = await generate('/audit/1', 9_000);
    const [handed] = [...decoders[0].arrivals, ...decoders[1].arrivals];
    expect(answer.body).toMatchSnapshot();
    expect(prefiller.arrivals.map(({ headers }) => headers['x-stage'])).to.deep.equal(['prefill']);
    expect(handed.headers['x-kv-source']).to.equal(`${prefiller.address}/kv-${handed.id}`);
  });

  it('goes on with a resumable stream after its last whole event, without a gap or a double', async () => {
    decoders[0].behaviour = ReplicaStandin.stream(8, 3);
    decoders[1].behaviour = ReplicaStandin.stream(8, 5);
    const broken = await generate('/audit/1', 9_000);
    const ids = [...broken.body.matchAll(/id: (\d+)\ndata: token \1\n\n/g)].map(([, id]) =>
      Number(id),
    );
    const whole = Array.from({ length: ids.length }, (_unused, at) => at + 1);
    decoders[1].behaviour = ReplicaStandin.stream(8);
    await sleep(600);
    const resumed = await generate('/audit/2', 9_000);
    expect(ids).to.deep.equal(whole);
    expect(broken.body).to.match(/cut/);
    expect(resumed.body).toMatchSnapshot();
  });

  it('cuts a stream that may not be resumed, so that it does not look complete', async () => {
    decoders.forEach((decoder) =>
      Object.assign(decoder, { behaviour: ReplicaStandin.stream(8, 3) }),
    );
    const answer = await generate('/verdict/1', 9_000);
    expect([answer.status, answer.body, countArrivals(decoders)]).to.deep.equal([200, 'cut', 1]);
  });

  it('has the target prefill by itself when the prefill engine declines', async () => {
    prefiller.behaviour = ReplicaStandin.decline;
    decoders.forEach((decoder) => Object.assign(decoder, { behaviour: ReplicaStandin.stream(2) }));
    const answer = await generate('/verdict/1', 9_000);
    const [arrival] = [...decoders[0].arrivals, ...decoders[1].arrivals];
    expect([answer.status, arrival.headers['x-kv-source']]).to.deep.equal([200, undefined]);
  });

  it('stops the work of a caller who leaves, and frees the prefill that nobody will use', async () => {
    let left = false;
    prefiller.behaviour = async (arrival, count) => {
      await sleep(200);
      ReplicaStandin.answer(arrival);
      expect(count).to.equal(1);
    };
    const beforeUse = new AbortController();
    const early = generate('/audit/1', 9_000, beforeUse.signal).catch(() => undefined);
    await sleep(100);
    beforeUse.abort();
    await early;
    await sleep(300);
    const arrivedAfterLeave = countArrivals(decoders);
    decoders.forEach((decoder) =>
      Object.assign(decoder, {
        behaviour: async (arrival: { left: Promise<void> }) => {
          await arrival.left;
          left = true;
        },
      }),
    );
    prefiller.behaviour = ReplicaStandin.answer;
    const during = new AbortController();
    const late = generate('/audit/2', 9_000, during.signal).catch(() => undefined);
    await sleep(200);
    during.abort();
    await late;
    await sleep(300);
    expect([arrivedAfterLeave, left]).to.deep.equal([0, true]);
  });

  it('refuses at arrival what cannot be served in time', async () => {
    const answer = await call('/audit/1', {
      body: 'p',
      headers: {
        'x-token-count': '50000,40',
        'x-prefix-hash': 'huge:50000',
        'x-deadline-ms': '150',
      },
    });
    expect([answer.status, countArrivals(replicas)]).to.deep.equal([503, 0]);
    expect(Number(answer.retryAfter)).to.be.within(0.01, 0.05);
  });

  it('answers bad input itself, and forwards nothing smuggled', async () => {
    const socket = connect(Number(new URL(gateway.url).port), '127.0.0.1');
    socket.write(
      'POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: s-1\r\ncontent-length: 5\r\n' +
        'transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /read/1 HTTP/1.1\r\nhost: shop.example\r\n\r\n',
    );
    const [smuggled] = (await once(socket, 'data')) as [Buffer];
    socket.destroy();
    const statuses = await Promise.all([
      call('/unknown/'),
      call('/book/1', { body: 'x', headers: { 'x-request-id': 'two, ids' } }),
      call('/book/1', { body: 'x'.repeat(70_000) }),
      call('/read/1', { headers: { 'x-long': 'y'.repeat(5_000) } }),
    ]);
    expect({
      smuggled: smuggled.toString('latin1').split('\r\n')[0],
      statuses: statuses.map(({ status }) => status),
      reached: countArrivals(replicas),
    }).toMatchSnapshot();
  });

  it('puts a new configuration in force at once, and stops sending to an endpoint that leaves', async () => {
    store.put('op', 'config', createConfiguration(5, [route('/new/', 'ledger')]));
    store.put('servers', 'ledger-1', ledgers[0].createEntry({ state: 'draining', sequence: 2 }));
    await sleep(200);
    const answers = await Promise.all([1, 2, 3, 4].map(() => call('/new/1')));
    store.forgetHistory();
    store.put('servers', 'ledger-1', ledgers[0].createEntry({ sequence: 3 }));
    await sleep(200);
    expect(answers.map(({ status }) => status)).to.deep.equal([200, 200, 200, 200]);
    expect(ledgers[0].arrivals.length).to.equal(0);
  });

  it('tells a node that starts while the store is away what it knows', async () => {
    store.setTrouble('reset');
    const second = await startGateway({
      storeUrl: store.url,
      seedPeers: [gateway.peerAddress, '127.0.0.1:1'],
    });
    const response = await sendRequest(`${second.url}/read/1`, {
      headers: { host: 'shop.example', 'x-request-id': 'second', 'x-deadline-ms': '900' },
    });
    await response.body.dump();
    store.setTrouble('none');
    await second.stop();
    expect(response.statusCode).to.equal(200);
  });

  it('serves its metrics as text, and logs a line for each decision on a request', async () => {
    await call('/read/9');
    const { body } = await sendRequest(gateway.metricsUrl);
    const text = await body.text();
    const line = gateway.lines.find(
      ({ msg, requestId }) => msg === 'attempt answered' && requestId === `r-${nextId}`,
    );
    expect(text).to.match(
      /rhubarbcroft_requests\{kind="idempotent",rank="1",outcome="answered"\} \d+/,
    );
    expect(Object.keys(line ?? {}).sort()).toMatchSnapshot();
  });
});

interface ServerResponseLike {
  writeHead(status: number, headers: Readonly<Record<string, string>>): void;
  end(body: string): void;
}

describe('a forwarding node that is told to leave', () => {
  it('finishes what it has, answers what still comes, and is not ready meanwhile', async () => {
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
    const underWay = send('before');
    await sleep(100);
    const stopped = gateway.stop();
    await sleep(50);
    const ready = await fetch(gateway.readyUrl).then(
      ({ status }) => status,
      () => 'closed',
    );
    const late = await send('after');
    expect([await underWay, late, ready]).to.deep.equal([[200, 'close'], [200, 'close'], 503]);
    await stopped;
    await ledger.stop();
    await store.stop();
  });
});
