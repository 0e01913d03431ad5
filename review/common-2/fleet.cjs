/*
 * A small deployment on loopback addresses: the program of the deploy file as separate processes, and stand-ins for the
 * platform's store and for replicas. The stand-ins answer as a sound platform and sound replicas do; a case replaces the
 * handler of a replica where it needs a faulty one.
 */
const { spawn } = require('node:child_process');
const fs = require('node:fs');
const http = require('node:http');
const net = require('node:net');
const os = require('node:os');
const path = require('node:path');

const ROOT = path.resolve(__dirname, '../..');
const STORE_MS = 4;
const HEARTBEAT_MS = 1200;

const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Listens on a free port of the host. Resolves with the address. */
function listen(server, host) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, () => resolve(`${host}:${server.address().port}`));
  });
}

function isFree(port, host) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Finds ports that are free on all hosts, since ports are the same on all machines. */
async function findFreePorts(hosts, count) {
  const ports = [];
  while (ports.length < count) {
    const probe = net.createServer();
    const port = Number((await listen(probe, hosts[0])).split(':')[1]);
    await new Promise((resolve) => {
      probe.close(resolve);
    });
    const areFree = await Promise.all(hosts.map((host) => isFree(port, host)));
    if (areFree.every(Boolean) && !ports.includes(port)) {
      ports.push(port);
    }
  }
  return ports;
}

function readBody(request) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => resolve(Buffer.concat(chunks)));
    request.on('error', reject);
  });
}

/** The platform's store: rows with versions, a feed of changes, conditional transactions. */
class Store {
  constructor(host) {
    this.host = host;
    this.rows = new Map();
    this.version = 100;
    this.waiting = new Set();
    this.startedAtMs = Date.now();
    /** Replaced by a case that disturbs the store. Returns true when it has answered or will not answer. */
    this.disturb = () => false;
  }

  async start() {
    this.server = http.createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    this.address = await listen(this.server, this.host);
  }

  put(table, part, key, text) {
    this.version += 1;
    const value = Buffer.from(text).toString('base64');
    this.rows.set(`${table}|${part}|${key}`, { table, part, key, value, ver: this.version });
    this.notify();
  }

  drop(table, part, key) {
    this.version += 1;
    const name = `${table}|${part}|${key}`;
    this.rows.set(name, { table, part, key, tombstone: true, ver: this.version });
    this.notify();
  }

  notify() {
    this.waiting.forEach((wake) => wake());
  }

  async handle(request, response) {
    const body = await readBody(request);
    if (this.disturb(request, response, body)) {
      return;
    }
    await sleep(STORE_MS);
    const url = new URL(request.url, 'http://store');
    const send = (status, value) => {
      const text = JSON.stringify({
        ...value,
        ver: value.ver ?? this.version,
        nowMs: Date.now() - this.startedAtMs,
      });
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(text);
    };
    const query = url.searchParams;
    const list = (table) => [...this.rows.values()].filter((row) => row.table === table);
    if (url.pathname === '/api/rows-get') {
      const part = query.get('part') ?? '';
      const from = query.get('from') ?? '';
      const rows = list(query.get('table'))
        .filter((row) => row.part === part && !row.tombstone && row.key >= from)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      send(200, { rows, morePages: false });
    } else if (url.pathname === '/api/rows-feed') {
      const after = Number(query.get('after'));
      const untilMs = Date.now() + Number(query.get('waitMs') ?? 0);
      const find = () => list(query.get('table')).filter((row) => row.ver > after);
      while (find().length === 0 && Date.now() < untilMs && !response.destroyed) {
        await new Promise((resolve) => {
          const timer = setTimeout(resolve, untilMs - Date.now());
          const wake = () => {
            clearTimeout(timer);
            this.waiting.delete(wake);
            resolve();
          };
          this.waiting.add(wake);
        });
      }
      send(200, { rows: find().sort((a, b) => a.ver - b.ver) });
    } else if (url.pathname === '/api/rows-tx') {
      const { expectedRevision = [], puts = [], remove = [] } = JSON.parse(body.toString());
      const read = ({ table, part, key }) => this.rows.get(`${table}|${part}|${key}`);
      const isMet = expectedRevision.every((row) => {
        const known = read(row);
        return (known === undefined || known.tombstone ? 0 : known.ver) === row.ver;
      });
      if (!isMet) {
        const rows = expectedRevision
          .map(read)
          .filter((row) => row !== undefined && !row.tombstone);
        send(412, { rows });
        return;
      }
      this.version += 1;
      const { version } = this;
      puts.forEach((row) =>
        this.rows.set(`${row.table}|${row.part}|${row.key}`, { ...row, ver: version }),
      );
      remove.forEach((row) =>
        this.rows.set(`${row.table}|${row.part}|${row.key}`, {
          ...row,
          tombstone: true,
          ver: version,
        }),
      );
      this.notify();
      send(200, { ver: version });
    } else {
      send(404, {});
    }
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** A replica: registers itself in the store, and gives each request to the handler of the case. */
class Replica {
  constructor({ store, id, service, host, zone, slots, stage, handle }) {
    Object.assign(this, { store, id, service, host, zone, slots, stage, handle });
    this.state = 'ready';
    this.sequence = 0;
    this.born = Date.now();
  }

  async start() {
    this.server = http.createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
      const expected = request.headers['x-expect-instance'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, { 'x-instance-id': this.id });
        response.end();
        return;
      }
      if (request.url === '/health') {
        response.writeHead(200, { 'x-instance-id': this.id });
        response.end();
        return;
      }
      this.handle(request, response, this);
    });
    this.address = await listen(this.server, this.host);
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  beat() {
    this.sequence += 1;
    const { service, address, zone, slots, state, stage, sequence, born } = this;
    const entry = {
      ...{ service, address, zone, version: 'v1', slots, state, coldRemainingMs: 0 },
      ...(stage === undefined ? {} : { stage, models: [{ name: 'm', version: 1, adapters: [] }] }),
      ...{ sequence, born },
    };
    this.store.put('servers', '', this.id, JSON.stringify(entry));
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }
}

function readRunCommand() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** One process of the deploy file's role, on an address of its own. */
class Gateway {
  constructor({ name, ip, zone, storeAddress, folder, seeds, ports, limits = {} }) {
    Object.assign(this, { name, ip, zone, storeAddress, folder, seeds, ports, limits });
    this.log = path.join(folder, `${name}.log`);
    this.exits = [];
  }

  writeSettings() {
    const { memoryMb = 350, maxFds = 4100 } = this.limits;
    const { front, ready, control, peers } = this.ports;
    const seeds = this.seeds.map((ip) => `"${ip}:${control}"`).join(',');
    const text = `nodeName = "${this.name}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "${this.ip}"
zone = "${this.zone}"
region = "litoral"
internalPorts = [${peers},${peers}]
seeds = [${seeds}]
bootstrap = true
countsForTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = ${HEARTBEAT_MS}
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
memoryMb = ${memoryMb}
maxFds = ${maxFds}
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
skewMaxMs = 6000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 54
recoverS = 12
transitMs = 400
againS = 9.9
fencingRequired = false
leaseMs = 3000
thawSlackMs = 300
[platform]
address = "${this.storeAddress}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
`;
    this.settings = path.join(this.folder, `${this.name}.toml`);
    fs.writeFileSync(this.settings, text);
  }

  async start() {
    this.writeSettings();
    const [command, ...args] = readRunCommand();
    const output = fs.openSync(this.log, 'a');
    this.process = spawn(command, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, RHUBARBCROFT_CONFIG: this.settings },
      stdio: ['ignore', output, output],
    });
    fs.closeSync(output);
    this.process.on('exit', (code, signal) => this.exits.push({ code, signal, atMs: Date.now() }));
    for (let tries = 0; tries < 150; tries += 1) {
      if (await this.isReady()) {
        return;
      }
      await sleep(100);
    }
    throw new Error(`${this.name} is not ready`);
  }

  isReady() {
    return new Promise((resolve) => {
      const url = `http://${this.ip}:${this.ports.ready}/api/ready`;
      const request = http.get(url, { agent: false }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.setTimeout(1000, () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }

  /** The resident memory in MB; undefined when the process has ended. */
  readMemoryMb() {
    try {
      const text = fs.readFileSync(`/proc/${this.process.pid}/status`, 'utf8');
      return Number(/^VmRSS:\s+(\d+)/m.exec(text)[1]) / 1024;
    } catch {
      return undefined;
    }
  }

  async stop() {
    if (this.exits.length === 0) {
      this.process.kill('SIGCONT');
      this.process.kill('SIGKILL');
      await new Promise((resolve) => {
        this.process.once('exit', resolve);
      });
    }
  }
}

const HOST = 'ficu95.example';
const LIMITS = {
  maxHeaderBytes: 16384,
  maxBodyBytes: 4194304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15000,
};
const ROUTES = [
  {
    ...{ name: 'r-stream', host: HOST, prefix: '/lohu930/', kind: 'streaming', timeoutMs: 6000 },
    ...{ targetLatencyMs: 800, priority: 0, service: 'engines', maxAttempts: 2 },
    ...{ sticky: true, resumable: true, gapAimMs: 300 },
  },
  {
    ...{ name: 'r-once', host: HOST, prefix: '/pufi791/', kind: 'streaming', timeoutMs: 4000 },
    ...{ targetLatencyMs: 1500, priority: 1, service: 'engines', maxAttempts: 1 },
    ...{ sticky: true, resumable: false, gapAimMs: 300 },
  },
  {
    ...{ name: 'r-book', host: HOST, prefix: '/puxa403/', kind: 'non_idempotent' },
    ...{ timeoutMs: 1200, targetLatencyMs: 400, priority: 2, service: 'ledger', maxAttempts: 1 },
  },
  {
    ...{ name: 'r-read', host: HOST, prefix: '/cufi504/', kind: 'idempotent', timeoutMs: 1200 },
    ...{ targetLatencyMs: 400, priority: 2, service: 'ledger', maxAttempts: 2 },
  },
];
const SERVICES = [
  {
    ...{ name: 'engines', healthPath: '/health', maxConnections: 360, protocol: 'h1', tls: false },
    engine: {
      ...{ slots: 64, kvCapacityTokens: 473595, kvTokenBytes: 35136, linkMbps: 740000.0 },
      ...{ moves: true, backups: true, stride: 7, most: 12, handleTtlS: 5.0, roleSwitchS: 3.0 },
      ...{ pinMs: 4000.0, holdMs: 2000.0, models: [{ name: 'm' }] },
    },
  },
  { name: 'ledger', healthPath: '/health', maxConnections: 100, protocol: 'h1', tls: false },
];

function writeConfiguration(store, version, routes = ROUTES) {
  const document = { version, routes, services: SERVICES, limits: LIMITS };
  store.put('op', '', 'config', JSON.stringify(document));
}

/** Notes what was sent, answered and run. */
class Recorder {
  constructor(file) {
    this.startedAtMs = Date.now();
    this.lines = [];
    this.file = file;
  }

  note(text) {
    const at = ((Date.now() - this.startedAtMs) / 1000).toFixed(3).padStart(8);
    this.lines.push(`${at} ${text}`);
  }

  write() {
    fs.writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/**
 * Runs a case: `play` resolves with a text that says how the rule was broken, or with undefined when it held. Exits with
 * 1 when it was broken, 0 when it held, and 2 when the case could not run.
 */
async function runCase(folder, play) {
  const temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  const recorder = new Recorder(path.join(folder, 'record.txt'));
  const cleanups = [];
  const hasTrouble = process.env.TROUBLE !== '0';
  let status = 2;
  let result;
  try {
    const broken = await play({
      ...{ folder: temporary, hasTrouble, note: (text) => recorder.note(text) },
      defer: (cleanup) => cleanups.unshift(cleanup),
    });
    result = broken === undefined ? 'RESULT held' : `RESULT broken: ${broken}`;
    status = broken === undefined ? 0 : 1;
  } catch (error) {
    result = `RESULT the case could not run: ${error.stack}`;
  }
  for (const cleanup of cleanups) {
    await cleanup();
  }
  recorder.note(result);
  recorder.write();
  process.stdout.write(`${recorder.lines.at(-1)}\n`);
  fs.rmSync(temporary, { recursive: true, force: true });
  process.exit(status);
}

module.exports = {
  ...{ Store, Replica, Gateway, writeConfiguration, runCase, findFreePorts, sleep },
  ...{ HOST, LIMITS, ROUTES, SERVICES },
};
