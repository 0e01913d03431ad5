/**
 * Runs stand-ins and daemons as processes on loopback, for the demo, the tests and the benchmarks.
 * `stop` ends every process and relay and removes the settings files.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'ini';
import { request } from 'undici';
import type EndpointPlan from './EndpointPlan.js';
import type FleetPlan from './FleetPlan.js';
import type LocalEndpoint from './LocalEndpoint.js';
import type LocalNode from './LocalNode.js';
import type NodePlan from './NodePlan.js';
import Program from './Program.js';
import RelaySet from './RelaySet.js';
import allocatePorts from './allocatePorts.js';

const STANDINS = join(dirname(fileURLToPath(import.meta.url)), '..');
const DAEMON = join(dirname(createRequire(import.meta.url).resolve('rhubarbcroft')), 'main.js');
/** The addresses for callers, operators and peers, in this order. */
const PORTS_PER_NODE = 3;
const PEER_PORT_INDEX = 2;
const POLL_INTERVAL_MS = 25;
const DEFAULT_TIMEOUT_MS = 15_000;

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

export default class LocalFleet {
  static readonly operatorToken = 'operator-token-of-the-local-fleet';

  readonly plan: FleetPlan;

  readonly platform: Program;

  readonly platformUrl: string;

  readonly relays = new RelaySet();

  readonly #directory: string;

  #endpoints: ReadonlyMap<string, LocalEndpoint> = new Map();

  #nodes: ReadonlyMap<string, LocalNode> = new Map();

  #portsByNode: ReadonlyMap<string, readonly number[]> = new Map();

  private constructor(plan: FleetPlan, directory: string, platform: Program, platformUrl: string) {
    this.plan = plan;
    this.#directory = directory;
    this.platform = platform;
    this.platformUrl = platformUrl;
  }

  /** Starts all processes, applies the fleet document and waits until it is in force on every node. */
  static async start(plan: FleetPlan): Promise<LocalFleet> {
    const directory = await mkdtemp(join(tmpdir(), 'rhubarbcroft-'));
    const platform = new Program({ script: join(STANDINS, 'platform/main.js'), args: ['{}'] });
    const { listening } = await platform.waitForLine((line) => line.listening !== undefined);
    const fleet = new LocalFleet(
      plan,
      directory,
      platform,
      `http://127.0.0.1:${String(listening)}`,
    );
    await Promise.all(plan.endpoints.map((endpoint) => fleet.startEndpoint(endpoint)));
    const ports = await allocatePorts(plan.nodes.length * PORTS_PER_NODE);
    fleet.#portsByNode = new Map(
      plan.nodes.map((node, index) => [
        node.id,
        ports.slice(index * PORTS_PER_NODE, (index + 1) * PORTS_PER_NODE),
      ]),
    );
    await Promise.all(plan.nodes.map((node) => fleet.startNode(node)));
    await fleet.applyDocument(plan.document);
    return fleet;
  }

  /** The daemons, in the order of the plan. */
  get nodes(): readonly LocalNode[] {
    return this.plan.nodes.flatMap(({ id }) => this.#nodes.get(id) ?? []);
  }

  /** The endpoints, in the order of the plan. */
  get endpoints(): readonly LocalEndpoint[] {
    return this.plan.endpoints.flatMap(({ id }) => this.#endpoints.get(id) ?? []);
  }

  node(id: string): LocalNode {
    const node = this.#nodes.get(id);
    if (node === undefined) {
      throw new Error(`the local fleet has no node "${id}"`);
    }
    return node;
  }

  endpoint(id: string): LocalEndpoint {
    const endpoint = this.#endpoints.get(id);
    if (endpoint === undefined) {
      throw new Error(`the local fleet has no endpoint "${id}"`);
    }
    return endpoint;
  }

  /** Starts a stand-in, on a free port if `port` is 0; a restart passes the endpoint's previous port. */
  async startEndpoint(plan: EndpointPlan, port = 0): Promise<LocalEndpoint> {
    const options = { port, name: plan.id, fencing: plan.fencing ?? 'ignored', ...plan.options };
    const program = new Program({
      script: join(STANDINS, `${plan.kind}/main.js`),
      args: [JSON.stringify(options)],
    });
    const { listening } = await program.waitForLine((line) => line.listening !== undefined);
    const direct = `http://127.0.0.1:${String(listening)}`;
    const isRelayed = this.plan.relays?.endpoints?.includes(plan.id) === true;
    const url = isRelayed ? await this.#resolveRelayUrl(`endpoint ${plan.id}`, direct) : direct;
    const endpoint = { plan, program, port: Number(listening), url };
    this.#endpoints = new Map([...this.#endpoints, [plan.id, endpoint]]);
    return endpoint;
  }

  /** Starts a daemon and waits until it is ready; a restart uses the same addresses. */
  async startNode(plan: NodePlan): Promise<LocalNode> {
    const ports = this.#portsByNode.get(plan.id) ?? [];
    const [caller, operator, peer] = ports.map((port) => `127.0.0.1:${port}`);
    const settingsPath = join(this.#directory, `${plan.id}.ini`);
    await writeFile(settingsPath, await this.#createSettings(plan, caller, operator, peer));
    const program = new Program({ script: DAEMON, args: [settingsPath] });
    await program.waitForLine((line) => line.msg === 'starting');
    const node: LocalNode = {
      plan,
      program,
      settingsPath,
      callerUrl: `http://${caller}`,
      operatorUrl: `http://${operator}`,
      peerAddress: peer,
    };
    this.#nodes = new Map([...this.#nodes, [plan.id, node]]);
    await this.waitUntil(
      async () => {
        const health = await request(`${node.callerUrl}/healthz`);
        await health.body.dump();
        return health.statusCode === 200;
      },
      () => `${plan.id} is ready; its process: ${program.describeStatus()}`,
    );
    return node;
  }

  /** Applies a fleet document of the endpoints and other sections; returns its version once in force. */
  async applyDocument(otherSections: Readonly<Record<string, unknown>>): Promise<number> {
    const endpoints = this.endpoints.map(({ plan, url }) => ({
      id: plan.id,
      kind: plan.kind,
      url,
      domain: plan.domain,
      region: plan.region,
      labels: plan.labels,
      fencing: plan.fencing ?? 'ignored',
    }));
    const { version } = (await this.administer('GET', '/v1/fleet')) as { readonly version: number };
    const answer = await this.administer('PUT', '/v1/fleet', {
      basedOn: version,
      document: { endpoints, ...otherSections },
    });
    const accepted = (answer as { readonly version?: number }).version;
    if (accepted === undefined) {
      throw new Error(`the daemon refused the fleet document: ${JSON.stringify(answer)}`);
    }
    await this.waitUntil(async () => {
      const states = await Promise.all(
        this.nodes.map((node) => this.administer('GET', '/v1/fleet', undefined, node)),
      );
      return states.every((state) => (state as { readonly version: number }).version >= accepted);
    }, `version ${accepted} of the fleet document is in force on every node`);
    return accepted;
  }

  /** Sends a request to the operators' API of a node, by default the first, and returns the JSON response. */
  async administer(
    method: 'GET' | 'PUT' | 'POST',
    path: string,
    body?: unknown,
    node = this.nodes[0],
  ): Promise<unknown> {
    const response = await request(`${node.operatorUrl}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${LocalFleet.operatorToken}`,
        'content-type': 'application/json',
      },
      body: body === undefined ? null : JSON.stringify(body),
    });
    return response.body.json();
  }

  /** Reads a stand-in's counters and state, or, given a change, sets its control fields. */
  async control(url: string, change?: Readonly<Record<string, unknown>>): Promise<unknown> {
    const response = await request(`${url}/control`, {
      method: change === undefined ? 'GET' : 'POST',
      body: change === undefined ? null : JSON.stringify(change),
    });
    return response.body.json();
  }

  async controlEndpoint(id: string, change?: Readonly<Record<string, unknown>>): Promise<unknown> {
    return this.control(`http://127.0.0.1:${this.endpoint(id).port}`, change);
  }

  async controlPlatform(change?: Readonly<Record<string, unknown>>): Promise<unknown> {
    return this.control(this.platformUrl, change);
  }

  /** Polls until the condition holds and throws after the timeout; a rejected condition does not hold. */
  async waitUntil(
    condition: () => Promise<boolean>,
    description: string | (() => string),
    timeoutMs = DEFAULT_TIMEOUT_MS,
  ): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs;
    while (performance.now() < deadlineMs) {
      if (await condition().catch(() => false)) {
        return;
      }
      await sleep(POLL_INTERVAL_MS);
    }
    const expected = typeof description === 'string' ? description : description();
    throw new Error(`timed out after ${timeoutMs} ms waiting until ${expected}`);
  }

  async stop(): Promise<void> {
    const programs = [...this.nodes, ...this.endpoints].map(({ program }) => program);
    // A process that a test has suspended is resumed first.
    programs.forEach((program) => program.signal('SIGCONT'));
    await Promise.all([...programs, this.platform].map((program) => program.stop('SIGKILL')));
    await this.relays.stop();
    await rm(this.#directory, { recursive: true, force: true });
  }

  async #resolveRelayUrl(name: string, url: string): Promise<string> {
    const relay = await this.relays.getOrStart(name, Number(new URL(url).port));
    return `http://127.0.0.1:${relay.port}`;
  }

  async #resolvePeerAddress(fromId: string, toId: string): Promise<string> {
    const port = Number(this.#portsByNode.get(toId)?.[PEER_PORT_INDEX]);
    const isRelayed = this.plan.relays?.peers === true;
    const reachablePort = isRelayed
      ? (await this.relays.getOrStart(`peer ${fromId} ${toId}`, port)).port
      : port;
    return `127.0.0.1:${reachablePort}`;
  }

  async #createSettings(
    plan: NodePlan,
    caller: string,
    operator: string,
    peer: string,
  ): Promise<string> {
    const others = this.plan.nodes.filter((other) => other.id !== plan.id);
    const seeds: string[] = [];
    for (const other of others) {
      seeds.push(await this.#resolvePeerAddress(plan.id, other.id));
    }
    const tableUrl =
      this.plan.relays?.platform === true
        ? await this.#resolveRelayUrl(`platform ${plan.id}`, this.platformUrl)
        : this.platformUrl;
    const { settings = {} } = this.plan;
    return stringify({
      node: {
        id: plan.id,
        domain: plan.domain,
        region: plan.region,
        lameDuckMs: 100,
        ...settings.node,
      },
      callers: { address: caller, anonymous: true, ...settings.callers },
      operators: { address: operator, token: LocalFleet.operatorToken },
      peers: {
        address: peer,
        seeds: seeds.join(','),
        key: 'peer-key-of-the-local-fleet',
        heartbeatMs: 200,
        ...settings.peers,
      },
      platform: { tableUrl, timeoutMs: 500, pollMs: 200, ...settings.platform },
      endpoints: { loadReportMs: 100, ...settings.endpoints },
      control: { ...settings.control },
      admission: { ...settings.admission },
      telemetry: { ...settings.telemetry },
    });
  }
}
