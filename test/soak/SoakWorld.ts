/** The system under test in one run of the soak: the store, the replicas, the nodes, and the records of them. */
import { setTimeout as sleep } from 'node:timers/promises';
import allocatePorts from '@rhubarbcroft/standins/fleet/allocatePorts';
import ReplicaStandin from '../platform/standins/ReplicaStandin.js';
import StoreStandin from '../platform/standins/StoreStandin.js';
import createConfiguration from '../platform/standins/createConfiguration.js';
import createRoute from '../platform/standins/createRoute.js';
import Disturbances from './Disturbances.js';
import Evidence from './Evidence.js';
import PromptSource from './PromptSource.js';
import SoakNode from './SoakNode.js';
import SoakReplica from './SoakReplica.js';

const READY_TIMEOUT_MS = 20_000;
const READY_PERIOD_MS = 50;
const BYTE_VALUES = 256;
/** Last byte of the first replica's address; those of the nodes are lower. */
const FIRST_REPLICA = 100;

interface ConfiguredTimeouts {
  readonly idleTimeoutMs: number;
  /** Time-out of the routes. */
  readonly timeoutMs: number;
}

const STREAM_GAP_MS = 200;
const DEFAULT_TIMEOUTS: ConfiguredTimeouts = { idleTimeoutMs: 15_000, timeoutMs: 2_000 };

export default class SoakWorld {
  readonly store = new StoreStandin();

  readonly disturbances = new Disturbances();

  readonly evidence = new Evidence(this.disturbances);

  readonly prompts = new PromptSource();

  #nodes: readonly SoakNode[] = [];

  #replicas: readonly SoakReplica[] = [];

  #configurationVersion = 1;

  #timeouts = DEFAULT_TIMEOUTS;

  get nodes(): readonly SoakNode[] {
    return this.#nodes;
  }

  get replicas(): readonly SoakReplica[] {
    return this.#replicas;
  }

  /** Time limit for idle connections in the newest configuration. */
  get idleTimeoutMs(): number {
    return this.#timeouts.idleTimeoutMs;
  }

  async start(nodeCount: number): Promise<void> {
    await this.store.start();
    this.writeConfiguration();
    const standins = [
      ...[1, 2, 3].map((index) => new ReplicaStandin(`ledger-${index}`, 'ledger')),
      new ReplicaStandin('prefill-1', 'model', 'prefill'),
      ...[1, 2, 3].map((index) => new ReplicaStandin(`decode-${index}`, 'model', 'decode')),
    ];
    // The loopback network is derived from the process id, so that concurrent soaks do not share addresses.
    const network = `127.${(Math.floor(process.pid / BYTE_VALUES) % (BYTE_VALUES - 2)) + 1}.${process.pid % BYTE_VALUES}`;
    const { store, evidence, disturbances } = this;
    this.#replicas = await Promise.all(
      standins.map((standin, index) => {
        const ip = `${network}.${FIRST_REPLICA + index}`;
        return SoakReplica.start({ standin, ip, store, evidence, disturbances });
      }),
    );
    const [peerPort] = await allocatePorts(1);
    const ips = Array.from({ length: nodeCount }, (_unused, index) => `${network}.${index + 1}`);
    const storePort = Number(new URL(this.store.url).port);
    this.#nodes = await Promise.all(
      ips.map((ip, index) =>
        SoakNode.create({
          name: `node-${index}`,
          ip,
          peerPort,
          seedIps: ips.slice(0, 3),
          storePort,
        }),
      ),
    );
    this.#nodes.forEach((node) => node.start());
    await this.waitUntilReady();
  }

  /**
   * Waits until all nodes are ready.
   *
   * @throws With the last log lines of the nodes that are not ready within 20 s.
   */
  async waitUntilReady(): Promise<void> {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    let waiting = [...this.#nodes];
    while (waiting.length > 0) {
      if (performance.now() > untilMs) {
        throw new Error(
          `${waiting.length} of ${this.#nodes.length} nodes not ready within ${READY_TIMEOUT_MS} ms: ${waiting.map((node) => node.describeProcess()).join('\n')}`,
        );
      }
      const ready = await Promise.all(waiting.map((node) => node.isReady()));
      waiting = waiting.filter((_node, index) => !ready[index]);
      await sleep(READY_PERIOD_MS);
    }
  }

  /** Writes a newer configuration with an additional route to the store. */
  writeConfiguration(timeouts = this.#timeouts): void {
    this.#timeouts = timeouts;
    this.evidence.recordRouteTimeout(timeouts.timeoutMs);
    this.#configurationVersion += 1;
    const route = createRoute(`/added-${this.#configurationVersion}/`, 'ledger');
    const configuration = createConfiguration(this.#configurationVersion, [route], {
      ...timeouts,
      gapAimMs: STREAM_GAP_MS,
    });
    this.store.put('op', 'config', configuration);
  }

  /** Writes a newer configuration with the time-outs of the first. */
  restoreTimeouts(): void {
    this.writeConfiguration(DEFAULT_TIMEOUTS);
  }

  async stop(): Promise<void> {
    await Promise.all(this.#nodes.map((node) => node.stop()));
    await Promise.all(this.#replicas.map((replica) => replica.stop()));
    await this.store.stop();
  }
}
