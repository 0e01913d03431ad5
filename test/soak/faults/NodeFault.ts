/** A node's process is killed, paused, or told to stop, and is started or woken again. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

type Way = 'killed' | 'paused' | 'stopped' | 'reloaded';

export default class NodeFault extends Fault {
  override readonly name: string;

  readonly #way: Way;

  readonly #node: number;

  constructor(way: Way, node: number) {
    super();
    this.#way = way;
    this.#node = node;
    this.name = `node ${node} ${way}`;
  }

  override async begin({ nodes, disturbances }: SoakWorld): Promise<() => Promise<void>> {
    const node = nodes[this.#node];
    if (this.#way === 'reloaded') {
      node.signal('SIGHUP');
      return async () => undefined;
    }
    if (this.#way === 'stopped') {
      // A planned stop cuts nothing, so the node is not noted as disturbed.
      const ended = node.end('SIGTERM');
      return async () => {
        await ended;
        node.start();
      };
    }
    const calm = [disturbances.begin(node.name), disturbances.begin('nodes')];
    if (this.#way === 'killed') {
      await node.end('SIGKILL');
    } else {
      node.signal('SIGSTOP');
    }
    return async () => {
      if (this.#way === 'killed') {
        node.start();
      } else {
        node.signal('SIGCONT');
      }
      calm.forEach((end) => end());
    };
  }
}
