/** Announces this node in the platform's list once, and reads there of the others. */
import type Logger from 'bunyan';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';
import type KnowledgeBase from './KnowledgeBase.js';
import type KnownNode from './KnownNode.js';
import type NodeList from './NodeList.js';

/** All nodes of a fleet start within a third of a second; after this time each finds all others listed. */
const SETTLE_MS = 3_000;
const RETRY_MS = 2_000;

export default class NodeAnnouncer extends Task {
  override readonly name = 'node-announcer';

  readonly #list: NodeList;

  readonly #base: KnowledgeBase;

  readonly #node: KnownNode;

  readonly #clock: Clock;

  readonly #log: Logger;

  constructor(
    list: NodeList,
    base: KnowledgeBase,
    options: { readonly node: KnownNode; readonly clock: Clock; readonly log: Logger },
  ) {
    super();
    this.#list = list;
    this.#base = base;
    this.#node = options.node;
    this.#clock = options.clock;
    this.#log = options.log;
  }

  override async run(signal: AbortSignal): Promise<void> {
    let announced = false;
    while (!announced && !signal.aborted) {
      const result = await this.#list.announce(this.#node);
      announced = result.isOk;
      if (result.isErr) {
        this.#log.info({ reason: describeFailure(result.error) }, 'not announced yet');
        await this.#clock.sleep(RETRY_MS, signal);
      }
    }
    await this.#clock.sleep(SETTLE_MS, signal);
    let read = false;
    while (!read && !signal.aborted) {
      const nodes = await this.#list.read();
      read = nodes.isOk;
      if (nodes.isOk) {
        this.#base.addListed(nodes.value);
      } else {
        await this.#clock.sleep(RETRY_MS, signal);
      }
    }
  }
}
