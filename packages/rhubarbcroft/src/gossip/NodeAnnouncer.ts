/** Adds this node to the platform's node list once, then reads the whole list once. */
import type Logger from 'bunyan';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';
import type GossipState from './GossipState.js';
import type ListedNode from './ListedNode.js';
import type NodeList from './NodeList.js';

/** All nodes of a fleet start within a third of a second, so after this delay each finds all others in the list. */
const LIST_DELAY_MS = 3_000;
const RETRY_MS = 2_000;

export default class NodeAnnouncer extends Task {
  override readonly name = 'node-announcer';

  readonly #list: NodeList;

  readonly #state: GossipState;

  readonly #node: ListedNode;

  readonly #clock: Clock;

  readonly #log: Logger;

  constructor(
    list: NodeList,
    state: GossipState,
    options: { readonly node: ListedNode; readonly clock: Clock; readonly log: Logger },
  ) {
    super();
    this.#list = list;
    this.#state = state;
    this.#node = options.node;
    this.#clock = options.clock;
    this.#log = options.log;
  }

  override async run(signal: AbortSignal): Promise<void> {
    let isAnnounced = false;
    while (!isAnnounced && !signal.aborted) {
      const result = await this.#list.announce(this.#node);
      isAnnounced = result.isOk;
      if (result.isErr) {
        this.#log.info(
          { reason: describeFailure(result.error) },
          "could not add this node to the platform's node list; retrying in 2 s",
        );
        await this.#clock.sleep(RETRY_MS, signal);
      }
    }
    await this.#clock.sleep(LIST_DELAY_MS, signal);
    let isRead = false;
    while (!isRead && !signal.aborted) {
      const nodes = await this.#list.read();
      isRead = nodes.isOk;
      if (nodes.isOk) {
        this.#state.addListedNodes(nodes.value);
      } else {
        await this.#clock.sleep(RETRY_MS, signal);
      }
    }
  }
}
