/** A replica drains or crashes, and a new incarnation of it starts at the same address. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

type RestartCause = 'drains' | 'crashes';

export default class ReplicaRestartFault extends Fault {
  override readonly name: string;

  readonly #cause: RestartCause;

  readonly #replica: number;

  constructor(cause: RestartCause, replica: number) {
    super();
    this.#cause = cause;
    this.#replica = replica;
    this.name = `replica ${replica} ${cause}`;
  }

  override inject({ replicas, disturbances }: SoakWorld): () => Promise<void> {
    const replica = replicas[this.#replica];
    if (this.#cause === 'drains') {
      replica.leave();
      return async () => {
        // The replica served while it drained, so only its replacement counts as a disturbance.
        const endDisturbance = disturbances.begin('replicas');
        replica.deregister();
        replica.register();
        endDisturbance();
      };
    }
    const endDisturbance = disturbances.begin('replicas');
    replica.relay.cut();
    return async () => {
      replica.deregister();
      replica.relay.restore();
      replica.register();
      endDisturbance();
    };
  }
}
