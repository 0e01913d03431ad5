/** A replica leaves or crashes, and another incarnation of it starts at the same address. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

type Way = 'drains' | 'crashes';

export default class ReplicaRestartFault extends Fault {
  override readonly name: string;

  readonly #way: Way;

  readonly #replica: number;

  constructor(way: Way, replica: number) {
    super();
    this.#way = way;
    this.#replica = replica;
    this.name = `replica ${replica} ${way}`;
  }

  override begin({ replicas, disturbances }: SoakWorld): () => Promise<void> {
    const replica = replicas[this.#replica];
    if (this.#way === 'drains') {
      replica.leave();
      return async () => {
        // It has served for longer than the nodes may take to heed that it leaves.
        const calm = disturbances.begin('replicas');
        replica.deregister();
        replica.register();
        calm();
      };
    }
    const calm = disturbances.begin('replicas');
    replica.relay.cut();
    return async () => {
      replica.deregister();
      replica.relay.restore();
      replica.register();
      calm();
    };
  }
}
