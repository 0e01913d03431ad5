/** Everything of one run of the soak: the store, the replicas, the nodes, and what is seen of them. */
import { setTimeout as sleep } from 'node:timers/promises';
import allocatePorts from '@rhubarbcroft/standins/fleet/allocatePorts';
import ReplicaStandin from '../platform/standins/ReplicaStandin.js';
import StoreStandin from '../platform/standins/StoreStandin.js';
import createConfiguration from '../platform/standins/createConfiguration.js';
import createRoute from '../platform/standins/createRoute.js';
import Disturbances from './Disturbances.js';
import Evidence from './Evidence.js';
import SoakNode from './SoakNode.js';
import SoakReplica from './SoakReplica.js';

const READY_TIMEOUT_MS = 20_000;
const READY_PERIOD_MS = 50;
const BYTE = 256;

export default class SoakWorld {
  readonly store = new StoreStandin();

  readonly disturbances = new Disturbances();

  readonly evidence = new Evidence(this.disturbances);

  #nodes: readonly SoakNode[] = [];

  #replicas: readonly SoakReplica[] = [];

  #configurationVersion = 1;

  get nodes(): readonly SoakNode[] {
    return this.#nodes;
  }

  get replicas(): readonly SoakReplica[] {
    return this.#replicas;
  }

  async start(nodeCount: number): Promise<void> {
    await this.store.start();
    this.writeConfiguration();
    const standins = [
      ...[1, 2, 3].map((at) => new ReplicaStandin(`ledger-${at}`, 'ledger')),
      new ReplicaStandin('prefill-1', 'model', 'prefill'),
      ...[1, 2, 3].map((at) => new ReplicaStandin(`decode-${at}`, 'model', 'decode')),
    ];
    this.#replicas = await Promise.all(
      standins.map((standin) => SoakReplica.start(standin, this.store, this.evidence)),
    );
    const [peerPort] = await allocatePorts(1);
    // Soaks that run beside one another differ in their process, and so in their loopback addresses.
    const network = `127.${(Math.floor(process.pid / BYTE) % (BYTE - 2)) + 1}.${process.pid % BYTE}`;
    const ips = Array.from({ length: nodeCount }, (_unused, at) => `${network}.${at + 1}`);
    const storePort = Number(new URL(this.store.url).port);
    this.#nodes = await Promise.all(
      ips.map((ip, at) =>
        SoakNode.create({
          name: `node-${at}`,
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

  /** Waits until all nodes are ready; throws with their last lines when they are not in time. */
  async waitUntilReady(): Promise<void> {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    let waiting = [...this.#nodes];
    while (waiting.length > 0) {
      if (performance.now() > untilMs) {
        throw new Error(`not ready: ${waiting.map((node) => node.describeEnd()).join('\n')}`);
      }
      const ready = await Promise.all(waiting.map((node) => node.isReady()));
      waiting = waiting.filter((_node, at) => !ready[at]);
      await sleep(READY_PERIOD_MS);
    }
  }

  writeConfiguration(): void {
    this.#configurationVersion += 1;
    const added = createRoute(`/added-${this.#configurationVersion}/`, 'ledger');
    const configuration = createConfiguration(this.#configurationVersion, [added]);
    this.store.put('op', 'config', configuration);
  }

  async stop(): Promise<void> {
    await Promise.all(this.#nodes.map((node) => node.stop()));
    await Promise.all(this.#replicas.map((replica) => replica.stop()));
    await this.store.stop();
  }
}
