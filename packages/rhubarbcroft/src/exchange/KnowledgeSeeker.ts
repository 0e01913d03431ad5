/**
 * Asks peers, a few in turn, whenever the store does not tell this node of changes: at a start during an
 * outage, when the store turns this node away, or when the path to it is cut.
 */
import type Logger from 'bunyan';
import type Clock from '../supervision/Clock.js';
import PeriodicTask from '../supervision/PeriodicTask.js';
import type KnowledgeBase from './KnowledgeBase.js';
import askPeer from './askPeer.js';

/** Two questions fit into the time in which a configuration must be in force (3 s) several times over. */
const PERIOD_MS = 500;
const ASK_TIMEOUT_MS = 400;
/** Peers asked in one round: one that is down or cut off costs a round for none but itself. */
const PEERS_PER_ROUND = 2;

export default class KnowledgeSeeker extends PeriodicTask {
  override readonly name = 'knowledge-seeker';

  readonly #base: KnowledgeBase;

  readonly #log: Logger;

  #next = 0;

  constructor(base: KnowledgeBase, clock: Clock, log: Logger) {
    super(clock, PERIOD_MS);
    this.#base = base;
    this.#log = log;
  }

  protected override async runOnce(): Promise<void> {
    const { nodes } = this.#base;
    if (this.#base.isCurrent || nodes.length === 0) {
      return;
    }
    const count = Math.min(PEERS_PER_ROUND, nodes.length);
    const asked = Array.from(
      { length: count },
      (_unused, at) => nodes[(this.#next + at) % nodes.length],
    );
    this.#next += count;
    await Promise.all(asked.map((address) => this.#ask(address)));
  }

  async #ask(address: string): Promise<void> {
    const question = this.#base.createQuestion();
    const knowledge = await askPeer(address, question, ASK_TIMEOUT_MS);
    if (knowledge === undefined) {
      this.#log.debug({ peer: address }, 'peer does not answer');
    } else if (this.#base.learn(knowledge)) {
      const { routingVersion, instancesVersion } = this.#base.createQuestion();
      this.#log.info({ peer: address, routingVersion, instancesVersion }, 'learnt from a peer');
    }
  }
}
