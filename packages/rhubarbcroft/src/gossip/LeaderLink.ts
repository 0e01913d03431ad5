/**
 * The task through which a node of a large failure domain follows the store: it receives pulses from a leader,
 * a neighbour that all nodes of the domain choose alike and that polls the store for them. So the number of
 * store calls grows with the number of domains and not with the number of nodes. The leader sends its state and
 * whether it still receives the store's changes several times a second; when the pulses stop or it no longer
 * does, this node reads the store directly until it has another leader.
 */
import { connect } from 'node:net';
import type Logger from 'bunyan';
import orderByHash from '../decisions/orderByHash.js';
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';
import type GossipState from './GossipState.js';
import type GossipMessage from './GossipMessage.js';
import createGossipCodec from './createGossipCodec.js';

type Pulse = Extract<GossipMessage, { readonly type: 'pulse' }>;

/** Smaller domains have no leader, since few store calls would be saved. */
const MIN_NEIGHBOURS = 5;
/** The rendezvous hashing key that orders the neighbours, the same in all failure domains. */
const LEADER_HASH_KEY = 'store-reader';
const CONNECT_TIMEOUT_MS = 500;
/**
 * Four pulse periods. A node that loses its leader still reads from the store in time a change that the leader
 * may have missed, which must be in force within 3 s.
 */
const PULSE_TIMEOUT_MS = 1_000;
/** How long a neighbour is not chosen as leader after its connection failed, timed out or was closed. */
const LEADER_AVOIDANCE_MS = 15_000;
/** How often a node without a leader looks for one. */
const LEADER_CHECK_PERIOD_MS = 1_000;

export default class LeaderLink extends Task {
  override readonly name = 'leader-link';

  readonly #state: GossipState;

  readonly #clock: Clock;

  readonly #log: Logger;

  readonly #avoidedUntilMs = new Map<string, number>();

  #leader: string | undefined;

  #routingVersion = 0;

  #waiters: readonly (() => void)[] = [];

  constructor(state: GossipState, clock: Clock, log: Logger) {
    super();
    this.#state = state;
    this.#clock = clock;
    this.#log = log;
  }

  /** Whether a leader relays the store's changes to this node. */
  get isFollowing(): boolean {
    return this.#leader !== undefined;
  }

  /** The address of the leader; undefined while there is none. */
  get address(): string | undefined {
    return this.#leader;
  }

  /** The highest version of the routing document that a leader has reported; 0 before the first pulse. */
  get routingVersion(): number {
    return this.#routingVersion;
  }

  /** Resolves at the next pulse, when the leader is lost, or when the signal aborts. */
  async waitForUpdate(signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      const settle = (): void => {
        signal.removeEventListener('abort', settle);
        resolve();
      };
      signal.addEventListener('abort', settle, { once: true });
      this.#waiters = [...this.#waiters, settle];
    });
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const leader = this.#chooseLeader();
      if (leader === undefined) {
        await this.#clock.sleep(LEADER_CHECK_PERIOD_MS, signal);
      } else {
        await this.#follow(leader, signal);
        this.#avoidedUntilMs.set(leader, this.#clock.nowMs() + LEADER_AVOIDANCE_MS);
      }
    }
  }

  override dumpState(): unknown {
    return { leader: this.#leader ?? null, routingVersion: this.#routingVersion };
  }

  /** The first neighbour that is not avoided; undefined when that is this node or the domain is too small. */
  #chooseLeader(): string | undefined {
    const { neighbours, address } = this.#state;
    if (neighbours.length < MIN_NEIGHBOURS) {
      return undefined;
    }
    const nowMs = this.#clock.nowMs();
    const first = orderByHash(LEADER_HASH_KEY, neighbours).find(
      (neighbour) => (this.#avoidedUntilMs.get(neighbour) ?? -Infinity) < nowMs,
    );
    return first === address ? undefined : first;
  }

  /** Applies the pulses of a leader until they stop, the connection ends, or the leader is no longer current. */
  async #follow(leader: string, signal: AbortSignal): Promise<void> {
    const [host, port] = leader.split(':');
    const codec = createGossipCodec();
    const socket = connect({ host, port: Number(port), noDelay: true });
    const close = (): void => {
      socket.destroy();
    };
    let timer = setTimeout(close, CONNECT_TIMEOUT_MS);
    signal.addEventListener('abort', close, { once: true });
    socket.write(codec.encode(this.#state.createFollowRequest()));
    try {
      for await (const bytes of socket) {
        clearTimeout(timer);
        timer = setTimeout(close, PULSE_TIMEOUT_MS);
        const messages = codec.decode(bytes as Buffer);
        const pulses = messages
          .unwrapOr([])
          .flatMap((message) => (message.type === 'pulse' ? [message] : []));
        if (messages.isErr || pulses.some(({ isCurrent }) => !isCurrent)) {
          break;
        }
        pulses.forEach((pulse) => this.#applyPulse(leader, pulse));
      }
    } catch (error) {
      this.#log.debug(
        { leader, reason: (error as Error).message },
        'connection to the leader failed; trying another neighbour',
      );
    } finally {
      clearTimeout(timer);
      signal.removeEventListener('abort', close);
      socket.destroy();
      this.#clearLeader(leader);
    }
  }

  #applyPulse(leader: string, { routingVersion, instances }: Pulse): void {
    if (instances !== undefined) {
      this.#state.adoptInstances(instances);
      if (this.#leader === undefined) {
        this.#log.info(
          { leader, version: instances.version },
          'following the store through a neighbour',
        );
      }
      this.#leader = leader;
    }
    this.#routingVersion = Math.max(this.#routingVersion, routingVersion);
    this.#resolveWaiters();
  }

  #clearLeader(leader: string): void {
    if (this.#leader !== undefined) {
      this.#log.info({ leader }, 'leader lost; following the store directly');
    }
    this.#leader = undefined;
    this.#resolveWaiters();
  }

  #resolveWaiters(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    waiters.forEach((resolveWaiter) => resolveWaiter());
  }
}
