/** A node's process is killed, paused or stopped and later restarted or resumed, or it reloads its settings. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

type NodeAction = 'killed' | 'paused' | 'stopped' | 'reloaded';

export default class NodeFault extends Fault {
  override readonly name: string;

  readonly #action: NodeAction;

  readonly #node: number;

  constructor(action: NodeAction, node: number) {
    super();
    this.#action = action;
    this.#node = node;
    this.name = `node ${node} ${action}`;
  }

  override async inject({ nodes, disturbances }: SoakWorld): Promise<() => Promise<void>> {
    const node = nodes[this.#node];
    if (this.#action === 'reloaded') {
      node.signal('SIGHUP');
      return async () => undefined;
    }
    const endContactLoss = disturbances.begin(`${node.name} contact`);
    if (this.#action === 'stopped') {
      // A planned stop must not cut answers, so it is not recorded as a disturbance.
      const ended = node.end('SIGTERM');
      return async () => {
        await ended;
        node.start();
        endContactLoss();
      };
    }
    const endDisturbances = [disturbances.begin(node.name), disturbances.begin('nodes')];
    if (this.#action === 'killed') {
      await node.end('SIGKILL');
    } else {
      node.signal('SIGSTOP');
    }
    return async () => {
      if (this.#action === 'killed') {
        node.start();
      } else {
        node.signal('SIGCONT');
      }
      [...endDisturbances, endContactLoss].forEach((end) => end());
    };
  }
}
