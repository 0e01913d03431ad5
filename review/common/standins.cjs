'use strict';
/**
 * Stand-ins for the scripts of the review: the platform's store, a relay in front of it, replicas of a plain service,
 * and the start of the project's program with the command of the deploy file. All of them run on loopback addresses and
 * follow the protocol page; where it is silent they behave like a sound store, replica or platform.
 */
const { spawn } = require('node:child_process');
const fs = require('node:fs');
const http = require('node:http');
const net = require('node:net');
const os = require('node:os');
const path = require('node:path');

const ROOT = path.resolve(__dirname, '..', '..');
const METRICS_PORT = 9464;
/** The bounds of the small deployments. */
const BOUNDS = {
  contactMs: 4000,
  drainMs: 3000,
  configApplyMs: 3000,
  graceS: 8,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBudgetExtra: 54,
  heartbeatMs: 1200,
};

const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, ms));
  });
const nowMs = () => performance.now();

/** A loopback network of this run, so that runs beside each other share no address. */
const network = `127.${20 + (Math.floor(process.pid / 250) % 200)}.${1 + (process.pid % 250)}`;

async function findFreePort(host) {
  const server = net.createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

function listen(server, port, host) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.removeListener('error', reject);
      resolve(server.address().port);
    });
  });
}

function readBody(request) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => resolve(Buffer.concat(chunks)));
    request.on('error', reject);
  });
}

/** The platform's store: rows in tables, conditional transactions, listings and feeds that are kept waiting. */
class Store {
  constructor() {
    this.rows = new Map();
    this.ver = 1;
    this.waiters = new Set();
    /** The calls to the feeds: table, remote port, wait and time. */
    this.feedCalls = [];
    /** 'none', or 'silent': the store answers nothing. */
    this.mode = 'none';
    this.sockets = new Set();
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 0;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  async start(host) {
    this.host = host;
    this.port = await listen(this.server, 0, host);
  }

  stop() {
    this.waiters.forEach((wake) => wake());
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  /** Writes a row as the operator or a replica does; the time at which it returns is that of the acknowledgement. */
  put(table, key, document) {
    this.ver += 1;
    const value = Buffer.from(JSON.stringify(document)).toString('base64');
    this.rows.set(`${table}\n\n${key}`, { table, part: '', key, value, ver: this.ver });
    this.wake();
    return nowMs();
  }

  remove(table, key) {
    this.ver += 1;
    this.rows.set(`${table}\n\n${key}`, { table, part: '', key, ver: this.ver, tombstone: true });
    this.wake();
    return nowMs();
  }

  wake() {
    const { waiters } = this;
    this.waiters = new Set();
    waiters.forEach((wake) => wake());
  }

  list(table, part) {
    return [...this.rows.values()]
      .filter((row) => row.table === table && (part === undefined || row.part === part))
      .filter((row) => row.tombstone !== true)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  async serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const body = await readBody(request);
    if (this.mode === 'silent') {
      return;
    }
    const send = (status, document) => {
      const text = JSON.stringify({ ...document, nowMs: Math.round(nowMs()) });
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    };
    const table = url.searchParams.get('table') ?? '';
    await sleep(4);
    if (url.pathname === '/api/rows-get') {
      const part = url.searchParams.get('part') ?? '';
      const from = url.searchParams.get('from') ?? '';
      const rows = this.list(table, part).filter(({ key }) => key >= from);
      send(200, { rows, morePages: false, ver: this.ver });
    } else if (url.pathname === '/api/rows-feed') {
      await this.feed(table, url, request, send);
    } else if (url.pathname === '/api/rows-tx') {
      this.transact(JSON.parse(body.toString('utf8')), send);
    } else {
      send(404, {});
    }
  }

  async feed(table, url, request, send) {
    const after = Number(url.searchParams.get('after'));
    const waitMs = Math.min(30_000, Number(url.searchParams.get('waitMs') ?? 0));
    this.feedCalls.push({ table, waitMs, atMs: nowMs() });
    const untilMs = nowMs() + waitMs;
    const changed = () =>
      [...this.rows.values()]
        .filter((row) => row.table === table && row.ver > after)
        .sort((a, b) => a.ver - b.ver);
    while (changed().length === 0 && nowMs() < untilMs && !request.socket.destroyed) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.max(1, untilMs - nowMs()));
        this.waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    if (this.mode !== 'silent') {
      send(200, { rows: changed(), ver: this.ver });
    }
  }

  transact({ expectedRevision = [], puts = [], remove = [] }, send) {
    const find = ({ table, part = '', key }) => this.rows.get(`${table}\n${part}\n${key}`);
    const verOf = (row) => (row === undefined || row.tombstone === true ? 0 : row.ver);
    if (expectedRevision.some((entry) => verOf(find(entry)) !== entry.ver)) {
      const rows = expectedRevision.map(find).filter((row) => verOf(row) > 0);
      send(412, { rows, ver: this.ver });
      return;
    }
    this.ver += 1;
    puts.forEach(({ table, part = '', key, value }) =>
      this.rows.set(`${table}\n${part}\n${key}`, { table, part, key, value, ver: this.ver }),
    );
    remove.forEach(({ table, part = '', key }) =>
      this.rows.set(`${table}\n${part}\n${key}`, {
        table,
        part,
        key,
        ver: this.ver,
        tombstone: true,
      }),
    );
    this.wake();
    send(200, { ver: this.ver });
  }
}

/** A TCP relay. It can fall silent on its open connections while new ones work. */
class Relay {
  constructor(target) {
    this.target = target;
    this.pairs = new Set();
    this.server = net.createServer({ allowHalfOpen: true }, (near) => this.accept(near));
  }

  async start(host) {
    this.host = host;
    this.port = await listen(this.server, 0, host);
  }

  accept(near) {
    const far = net.connect({ ...this.target, allowHalfOpen: true });
    const pair = { near, far, isSilent: false };
    this.pairs.add(pair);
    const forward = (from, to) => {
      from.on('data', (bytes) => pair.isSilent || to.write(bytes));
      from.on('end', () => pair.isSilent || to.end());
      from.on('error', () => undefined);
      from.on('close', () => {
        this.pairs.delete(pair);
        if (!pair.isSilent || from === near) {
          to.destroy();
        }
      });
    };
    forward(near, far);
    forward(far, near);
  }

  /** Drops all further bytes of the connections that are open now, in both directions, and closes none of them. */
  silenceOpenConnections() {
    const { size } = this.pairs;
    this.pairs.forEach((pair) => {
      pair.isSilent = true;
    });
    return size;
  }

  stop() {
    this.pairs.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
    this.server.close();
  }
}

/** A replica of a plain service. It runs at most `slots` requests at once and sheds the rest. */
class Replica {
  constructor({ id, service, store, workMs, slots = 6, record }) {
    Object.assign(this, { id, service, store, workMs, slots, record });
    this.sequence = 0;
    this.born = Date.now();
    this.state = 'ready';
    this.isUp = false;
    this.running = 0;
    this.sockets = new Set();
    /** Each request that reached the replica: id, time, whether it ran and how it ended. */
    this.arrivals = [];
    /** Called with each request that begins to run; returns true if it has ended the replica. */
    this.onRun = () => false;
    /** Headers that are added to all answers. */
    this.extraHeaders = {};
  }

  async start(host, port = 0) {
    this.host = host;
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 5_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
    });
    this.port = await listen(this.server, port, host);
    this.isUp = true;
    this.register();
    this.beat = setInterval(() => {
      this.sequence += 1;
    }, BOUNDS.heartbeatMs);
  }

  /** Writes the replica's entry; returns the time of the store's acknowledgement. */
  register(state = this.state) {
    this.state = state;
    this.sequence += 1;
    return this.store.put('servers', this.id, {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: 'rosario-norte',
      version: 'v1',
      slots: this.slots,
      state,
      coldRemainingMs: 0,
      sequence: this.sequence,
      born: this.born,
    });
  }

  /** Ends like a process: the port refuses connections, and the open ones are reset. */
  end() {
    this.isUp = false;
    clearInterval(this.beat);
    this.server.close();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    this.running = 0;
  }

  async serve(request, response) {
    const atMs = nowMs();
    const id = request.headers['x-request-id'];
    await readBody(request);
    const headers = {
      'x-request-id': id ?? '',
      'x-instance-id': this.id,
      ...this.extraHeaders,
      ...(this.state === 'draining' ? { connection: 'close' } : {}),
    };
    const refuse = (status, extra = {}) => {
      response.writeHead(status, { ...headers, 'x-not-executed': '1', ...extra });
      response.end();
    };
    if (request.url === '/health') {
      response.writeHead(this.state === 'ready' ? 200 : 503, headers);
      response.end();
      return;
    }
    const arrival = { id, atMs, path: request.url, replica: this.id, ran: false, end: 'refused' };
    this.arrivals.push(arrival);
    this.record?.(arrival);
    if (id === undefined) {
      refuse(400);
      return;
    }
    const expected = request.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      refuse(421);
      return;
    }
    if (this.running >= this.slots) {
      refuse(503);
      return;
    }
    this.running += 1;
    arrival.ran = true;
    arrival.end = 'unfinished';
    const { born } = this;
    if (this.onRun(request, arrival)) {
      arrival.end = 'crashed';
      return;
    }
    await sleep(this.workMs);
    if (born !== this.born || !this.isUp) {
      return;
    }
    this.running -= 1;
    arrival.end = response.destroyed ? 'caller left' : 'answered';
    const text = `done ${id} at ${this.id}\n`;
    response.writeHead(200, {
      ...headers,
      'content-type': 'text/plain',
      'content-length': text.length,
      'x-response-seal': `seal-${id}`,
      'x-instance-load': `${this.running},0,${this.slots}`,
    });
    response.end(text);
  }
}

/** A model engine: it streams events, prefills for another engine, and changes its stage when ordered to. */
class Engine extends Replica {
  constructor(options) {
    super({ service: 'tasador', workMs: 0, slots: 64, ...options });
    this.stage = options.stage;
    this.events = 25;
    this.eventMs = 120;
    /** Whether all slots are taken by the work of other machines. */
    this.isFull = false;
    /** Called before each event; the event is written once the returned promise resolves. */
    this.beforeEvent = () => undefined;
    this.handles = 0;
  }

  register(state = this.state) {
    this.state = state;
    this.sequence += 1;
    return this.store.put('servers', this.id, {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: 'rosario-norte',
      version: 'v1',
      slots: this.slots,
      state,
      coldRemainingMs: 0,
      stage: this.stage,
      models: [{ name: 'm', version: 1, adapters: [] }],
      sequence: this.sequence,
      born: this.born,
    });
  }

  async serve(request, response) {
    const atMs = nowMs();
    const body = await readBody(request);
    const id = request.headers['x-request-id'];
    const headers = { 'x-request-id': id ?? '', 'x-instance-id': this.id, ...this.extraHeaders };
    const send = (status, document, extra = {}) => {
      const text = document === undefined ? '' : JSON.stringify(document);
      response.writeHead(status, {
        ...headers,
        'content-type': 'application/json',
        'content-length': text.length,
        ...extra,
      });
      response.end(text);
    };
    if (request.method === 'DELETE') {
      send(200);
      return;
    }
    const expected = request.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      send(421, undefined, { 'x-not-executed': '1' });
      return;
    }
    if (request.url === '/api/order') {
      const { stage } = JSON.parse(body.toString('utf8'));
      send(202);
      await sleep(3_000);
      this.stage = stage;
      this.register();
      return;
    }
    const isPrefill = request.headers['x-stage'] === 'prefill';
    const arrival = {
      id,
      atMs,
      replica: this.id,
      kind: isPrefill ? 'prefill' : 'stream',
      after: request.headers['last-event-id'],
      ran: false,
      events: 0,
      end: 'refused',
    };
    this.arrivals.push(arrival);
    this.record?.(arrival);
    if (this.isFull) {
      send(503, undefined, { 'x-not-executed': '1' });
      return;
    }
    if (isPrefill !== (this.stage === 'prefill')) {
      send(421, undefined, { 'x-not-executed': '1' });
      return;
    }
    await sleep(40);
    if (isPrefill) {
      this.handles += 1;
      arrival.end = 'prefilled';
      send(200, { kvHandle: `${this.id}-${this.handles}`, tokens: 1_000, version: 1 });
      return;
    }
    arrival.ran = true;
    arrival.end = 'unfinished';
    response.writeHead(200, {
      ...headers,
      'content-type': 'text/event-stream',
      'x-response-seal': `seal-${id}`,
    });
    for (let event = Number(arrival.after ?? 0) + 1; event <= this.events; event += 1) {
      await this.beforeEvent(event, arrival);
      if (response.destroyed || !this.isUp) {
        arrival.end = 'its connection was closed';
        return;
      }
      response.write(`id: ${event}\ndata: token ${event}\n\n`);
      arrival.events = event;
      await sleep(this.eventMs);
    }
    arrival.end = 'answered';
    response.end();
  }
}

/** One machine of the system: the project's program, with its own loopback address and settings file. */
class Machine {
  constructor({ name, ip, seeds, store, directory }) {
    Object.assign(this, { name, ip, seeds, store, directory });
  }

  async start() {
    const [front, ready] = [await findFreePort(this.ip), await findFreePort(this.ip)];
    const control = await findFreePort(this.ip);
    this.front = { host: this.ip, port: front };
    this.ready = { host: this.ip, port: ready };
    const settings = path.join(this.directory, `${this.name}.toml`);
    fs.writeFileSync(
      settings,
      `nodeName = "${this.name}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "${this.ip}"
zone = "rosario-norte"
region = "litoral"
internalPorts = [7380,7395]
seeds = [${this.seeds.map((ip) => `"${ip}:${control}"`).join(',')}]
bootstrap = true
countsForTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = ${BOUNDS.heartbeatMs}
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
rosario-norte = "litoral"
cordoba-sur = "centro"
mendoza-este = "cuyo"
[listen]
front = "${this.ip}:${front}"
ready = "${this.ip}:${ready}"
control = "${this.ip}:${control}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
contactMs = ${BOUNDS.contactMs}
catchUpS = 4
drainMs = ${BOUNDS.drainMs}
graceS = ${BOUNDS.graceS}
configApplyMs = ${BOUNDS.configApplyMs}
retryBudgetRatio = ${BOUNDS.retryBudgetRatio}
budgetWindowS = ${BOUNDS.budgetWindowS}
retryBudgetExtra = ${BOUNDS.retryBudgetExtra}
[platform]
address = "${this.store.host}:${this.store.port}"
form = "table"
writesPerS = 400
readsPerS = 2000
historyS = 20
`,
    );
    const deploy = fs.readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
    const [program, ...args] = /^run = "([^"]+)"/m.exec(deploy)[1].split(' ');
    const log = fs.openSync(path.join(this.directory, `${this.name}.log`), 'w');
    this.process = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        RHUBARBCROFT_CONFIG: settings,
      },
      stdio: ['ignore', log, log],
    });
    this.process.once('exit', (code, signal) => {
      this.exit = { code, signal, atMs: nowMs() };
    });
  }

  isReady() {
    return new Promise((resolve) => {
      const request = http.get(
        { ...this.ready, path: '/api/ready', agent: false, timeout: 500 },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('error', () => resolve(false));
      request.on('timeout', () => request.destroy());
    });
  }

  stop() {
    if (this.process !== undefined && this.exit === undefined) {
      this.process.kill('SIGKILL');
    }
  }
}

/** Sends one attempt of a client on a new connection, and resolves with what the client got. */
function call(machine, { id, method = 'POST', target, host, deadlineMs, headers = {}, body = '' }) {
  const sentAtMs = nowMs();
  return new Promise((resolve) => {
    const finish = (outcome) => {
      clearTimeout(timer);
      resolve({
        id,
        method,
        target,
        machine: machine.name,
        sentAtMs,
        tookMs: nowMs() - sentAtMs,
        ...outcome,
      });
    };
    const request = http.request(
      {
        ...machine.front,
        method,
        path: target,
        agent: false,
        headers: {
          host,
          'x-request-id': id,
          'x-deadline-ms': String(deadlineMs),
          ...(method === 'GET' ? {} : { 'content-length': Buffer.byteLength(body) }),
          ...headers,
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () =>
          finish({
            status: response.statusCode,
            seal: response.headers['x-response-seal'],
            retryAfter: response.headers['retry-after'],
            leavingAtMs: response.headers['server-leaving'] === undefined ? undefined : nowMs(),
            isComplete: response.complete,
            body: Buffer.concat(chunks).toString('latin1'),
          }),
        );
        response.on('error', () =>
          finish({
            status: response.statusCode,
            isComplete: false,
            body: Buffer.concat(chunks).toString('latin1'),
          }),
        );
      },
    );
    const timer = setTimeout(() => request.destroy(new Error('deadline')), deadlineMs + 500);
    request.on('error', (error) => finish({ status: 0, error: error.message, isComplete: false }));
    request.end(method === 'GET' ? undefined : body);
  });
}

/** The configuration of the small deployment's plain service, and further routes and services. */
function createConfiguration(version, routes = [], services = []) {
  const route = {
    host: 'ficu95.example',
    service: 'registro',
    timeoutMs: 1200,
    targetLatencyMs: 400,
    priority: 2,
    sticky: false,
    resumable: false,
  };
  return {
    version,
    routes: [
      {
        ...route,
        name: 'asiento-baja',
        prefix: '/puxa403/',
        kind: 'non_idempotent',
        maxAttempts: 1,
      },
      { ...route, name: 'lectura-saldo', prefix: '/cufi504/', kind: 'idempotent', maxAttempts: 2 },
      ...routes,
    ],
    services: [
      { name: 'registro', healthPath: '/health', maxConnections: 100, protocol: 'h1', tls: false },
      ...services,
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
  };
}

/** Records each request that clients sent, what they got, and where it arrived, ran and ended. */
function logRequests(world, answers, replicas) {
  const arrivals = new Map();
  replicas
    .flatMap((replica) => replica.arrivals)
    .sort((a, b) => a.atMs - b.atMs)
    .forEach((arrival) => arrivals.set(arrival.id, [...(arrivals.get(arrival.id) ?? []), arrival]));
  [...answers]
    .sort((a, b) => a.sentAtMs - b.sentAtMs)
    .forEach(({ id, method, target, machine, sentAtMs, tookMs, status, error, isComplete }) => {
      const path = (arrivals.get(id) ?? []).map(
        ({ replica, kind, ran, end }) =>
          `${replica} ${kind === 'prefill' ? 'prefill, ' : ''}${ran ? 'ran, ' : ''}${end}`,
      );
      const outcome = `${status || error}${isComplete ? '' : ' cut'}`;
      world.log(
        `${id} ${method} ${target} to ${machine}: ${outcome} after ${Math.round(tookMs)} ms [${path.join('; ')}]`,
        sentAtMs,
      );
    });
}

/** Runs a case: `play` gets a world and returns true if the rule held. Writes the record and ends all that it started. */
async function runCase(directory, play) {
  const lines = [];
  const startedAtMs = nowMs();
  const temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  const parts = [];
  const world = {
    hasTrouble: process.env.TROUBLE !== '0',
    temporary,
    log: (text, atMs = nowMs()) =>
      lines.push(`${((atMs - startedAtMs) / 1000).toFixed(3).padStart(8)} s  ${text}`),
    add: (part) => {
      parts.push(part);
      return part;
    },
    /** Starts the system's machines, one loopback address each, and waits until all are ready. */
    startMachines: async (count, createStore) => {
      const ips = Array.from({ length: count }, (_unused, index) => `${network}.${index + 1}`);
      const machines = [];
      for (const [index, ip] of ips.entries()) {
        const machine = new Machine({
          name: `front-rosario-norte-${index + 1}`,
          ip,
          seeds: ips.slice(0, 3),
          store: await createStore(index),
          directory: temporary,
        });
        machines.push(world.add(machine));
      }
      await Promise.all(machines.map((machine) => machine.start()));
      const untilMs = nowMs() + 20_000;
      for (const machine of machines) {
        while (!(await machine.isReady())) {
          if (nowMs() > untilMs) {
            throw new Error(`${machine.name} is not ready`);
          }
          await sleep(50);
        }
      }
      return machines;
    },
  };
  const stop = () => parts.forEach((part) => part.stop?.());
  process.once('SIGTERM', () => {
    stop();
    process.exit(2);
  });
  let status = 2;
  try {
    status = (await play(world)) ? 0 : 1;
  } catch (error) {
    world.log(`the case could not run: ${error.stack}`);
  }
  stop();
  world.log(
    `result: ${['the rule held', 'the rule was broken', 'the case could not run'][status]}`,
  );
  fs.writeFileSync(path.join(directory, 'record.txt'), `${lines.join('\n')}\n`);
  if (process.env.KEEP === undefined) {
    fs.rmSync(temporary, { recursive: true, force: true });
  }
  process.stdout.write(`${lines.slice(-12).join('\n')}\n`);
  process.exit(status);
}

module.exports = {
  BOUNDS,
  Engine,
  METRICS_PORT,
  Machine,
  Relay,
  Replica,
  Store,
  call,
  createConfiguration,
  findFreePort,
  listen,
  logRequests,
  network,
  nowMs,
  readBody,
  runCase,
  sleep,
};
