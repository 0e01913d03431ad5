/**
 * The task through which a node of a large domain follows the store: it listens to one of its neighbours, chosen
 * alike by all, which polls the store for them. So the calls to the store grow with the domains and not with
 * the nodes. The neighbour tells several times a second what it knows and that it still hears from the store;
 * when it falls silent or no longer hears, this node turns to the store itself and then to another neighbour.
 */
import { connect } from 'node:net';
import type Logger from 'bunyan';
import orderByHash from '../decisions/orderByHash.js';
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';
import type KnowledgeBase from './KnowledgeBase.js';
import type KnowledgeMessage from './KnowledgeMessage.js';
import createKnowledgeCodec from './createKnowledgeCodec.js';

type Pulse = Extract<KnowledgeMessage, { readonly type: 'pulse' }>;

/** In smaller domains few calls would be saved. */
const MIN_NEIGHBOURS = 5;
/** The key under which neighbours are ordered; each domain has neighbours of its own. */
const ORDER_KEY = 'store-reader';
const CONNECT_TIMEOUT_MS = 500;
/**
 * Four pulses; a node turns to the store itself soon enough for what must be in force within 3 s of a change
 * that its leader may have missed.
 */
const SILENCE_TIMEOUT_MS = 1_000;
/** How long a neighbour that fell silent is passed over. */
const AVOID_MS = 15_000;
const IDLE_MS = 1_000;

export default class LeaderLink extends Task {
  override readonly name = 'leader-link';

  readonly #base: KnowledgeBase;

  readonly #clock: Clock;

  readonly #log: Logger;

  readonly #avoidedUntilMs = new Map<string, number>();

  #leader: string | undefined;

  #routingVersion = 0;

  #waiters: readonly (() => void)[] = [];

  constructor(base: KnowledgeBase, clock: Clock, log: Logger) {
    super();
    this.#base = base;
    this.#clock = clock;
    this.#log = log;
  }

  /** Whether a neighbour tells this node what the store says. */
  get isFollowing(): boolean {
    return this.#leader !== undefined;
  }

  /** The version of the routing document that the leader knows. */
  get routingVersion(): number {
    return this.#routingVersion;
  }

  /** Resolves at the next pulse, when the leader is lost, or when the signal aborts. */
  async waitForNews(signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        signal.removeEventListener('abort', finish);
        resolve();
      };
      signal.addEventListener('abort', finish, { once: true });
      this.#waiters = [...this.#waiters, finish];
    });
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const leader = this.#chooseLeader();
      if (leader === undefined) {
        await this.#clock.sleep(IDLE_MS, signal);
      } else {
        await this.#follow(leader, signal);
        this.#avoidedUntilMs.set(leader, this.#clock.nowMs() + AVOID_MS);
      }
    }
  }

  override dumpState(): unknown {
    return { leader: this.#leader ?? null, routingVersion: this.#routingVersion };
  }

  /** The first neighbour that is not avoided; undefined when that is this node, or there are few. */
  #chooseLeader(): string | undefined {
    const { neighbours, address } = this.#base;
    if (neighbours.length < MIN_NEIGHBOURS) {
      return undefined;
    }
    const nowMs = this.#clock.nowMs();
    const first = orderByHash(ORDER_KEY, neighbours).find(
      (neighbour) => (this.#avoidedUntilMs.get(neighbour) ?? -Infinity) < nowMs,
    );
    return first === address ? undefined : first;
  }

  /** Listens to a leader until it falls silent, ends, or no longer hears from the store. */
  async #follow(leader: string, signal: AbortSignal): Promise<void> {
    const [host, port] = leader.split(':');
    const codec = createKnowledgeCodec();
    const socket = connect({ host, port: Number(port), noDelay: true });
    const close = (): void => {
      socket.destroy();
    };
    let timer = setTimeout(close, CONNECT_TIMEOUT_MS);
    signal.addEventListener('abort', close, { once: true });
    socket.write(codec.encode(this.#base.createFollow()));
    try {
      for await (const bytes of socket) {
        clearTimeout(timer);
        timer = setTimeout(close, SILENCE_TIMEOUT_MS);
        const messages = codec.decode(bytes as Buffer);
        const pulses = messages
          .unwrapOr([])
          .flatMap((message) => (message.type === 'pulse' ? [message] : []));
        if (messages.isErr || pulses.some(({ isCurrent }) => !isCurrent)) {
          break;
        }
        pulses.forEach((pulse) => this.#accept(leader, pulse));
      }
    } catch (error) {
      this.#log.debug(
        { leader, reason: (error as Error).message },
        'connection to the leader broke',
      );
    } finally {
      clearTimeout(timer);
      signal.removeEventListener('abort', close);
      socket.destroy();
      this.#lose(leader);
    }
  }

  #accept(leader: string, { routingVersion, instances }: Pulse): void {
    if (instances !== undefined) {
      this.#base.adoptInstances(instances);
      if (this.#leader === undefined) {
        this.#log.info(
          { leader, version: instances.version },
          'following the store through a neighbour',
        );
      }
      this.#leader = leader;
    }
    this.#routingVersion = Math.max(this.#routingVersion, routingVersion);
    this.#wake();
  }

  #lose(leader: string): void {
    if (this.#leader !== undefined) {
      this.#log.info({ leader }, 'leader lost; following the store directly');
    }
    this.#leader = undefined;
    this.#wake();
  }

  #wake(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    waiters.forEach((wake) => wake());
  }
}
