/**
 * The instances that may be given work, from what the store and peers say.
 *
 * Statements of one instance about itself only go forward: an older start or a lower sequence is a late
 * write and is passed over. An entry that vanishes while the store is away, or shortly after its return,
 * proves nothing, since entries lapse when nobody can renew them; it is dropped when it is still missing
 * afterwards. Any other removal counts at once.
 */
import type Logger from 'bunyan';
import type FeedPage from '../discovery/FeedPage.js';
import FeedConsumer from '../discovery/FeedConsumer.js';
import type RoutingHolder from '../routes/RoutingHolder.js';
import type Clock from '../supervision/Clock.js';
import type Instance from './Instance.js';
import InstanceState from './InstanceState.js';

interface InstanceRegistryOptions {
  readonly routing: RoutingHolder;
  readonly clock: Clock;
  readonly log: Logger;
  readonly connectTimeoutMs: number;
}

interface Entry {
  readonly state: InstanceState;
  readonly version: number;
  /** When the entry was found missing, as long as that proves nothing. */
  readonly missingSinceMs: number | undefined;
}

/** Lapsed entries are back within about two seconds of the store's return (the platform's discovery). */
const LAPSE_GRACE_MS = 2_500;
const DEFAULT_KV_TOKENS = 100_000;

export default class InstanceRegistry extends FeedConsumer<Instance> {
  readonly #options: InstanceRegistryOptions;

  readonly #entries = new Map<string, Entry>();

  #version = 0;

  #revision = 0;

  #doubtUntilMs = -Infinity;

  constructor(options: InstanceRegistryOptions) {
    super();
    this.#options = options;
  }

  /** The version of the store's table that is known here; 0 before the first listing. */
  get version(): number {
    return this.#version;
  }

  /** Rises whenever an instance is added, changed or dropped. */
  get revision(): number {
    this.#dropMissing();
    return this.#revision;
  }

  override replaceAll(page: FeedPage<Instance>): void {
    if (page.version < this.#version) {
      return;
    }
    const present = new Set(page.rows.map(({ key }) => key));
    this.applyChanges(page);
    [...this.#entries.keys()].forEach((id) => {
      if (!present.has(id)) {
        this.#remove(id, page.version);
      }
    });
  }

  override applyChanges(page: FeedPage<Instance>): void {
    page.rows.forEach(({ key, version, value }) => {
      if (value === undefined) {
        this.#remove(key, version);
      } else {
        this.#accept(key, version, value);
      }
    });
    this.#version = Math.max(this.#version, page.version);
  }

  /**
   * Takes over what a peer knows. What is missing there counts as removed only if the peer hears from the
   * store itself.
   */
  adopt(page: FeedPage<Instance>, isCurrent: boolean): void {
    const doubtUntilMs = this.#doubtUntilMs;
    this.#doubtUntilMs = isCurrent ? -Infinity : Infinity;
    this.replaceAll(page);
    this.#doubtUntilMs = doubtUntilMs;
  }

  override noteOutage(): void {
    this.#doubtUntilMs = Infinity;
  }

  override noteReturn(): void {
    this.#doubtUntilMs = this.#options.clock.nowMs() + LAPSE_GRACE_MS;
  }

  /** The instances of a service that may be given new work. */
  listAvailable(service: string): readonly InstanceState[] {
    this.#dropMissing();
    return [...this.#entries.values()]
      .map(({ state }) => state)
      .filter(({ instance }) => instance.service === service && !instance.isLeaving);
  }

  /** The instances of a service that are leaving: they take nothing new, but still hold what they had. */
  listLeaving(service: string): readonly InstanceState[] {
    return [...this.#entries.values()]
      .map(({ state }) => state)
      .filter(({ instance }) => instance.service === service && instance.isLeaving);
  }

  find(id: string): InstanceState | undefined {
    return this.#entries.get(id)?.state;
  }

  /** All rows as they are known here, to be passed on to a peer. */
  createPage(): FeedPage<Instance> {
    this.#dropMissing();
    const rows = [...this.#entries].map(([key, { state, version }]) => ({
      key,
      version,
      value: state.instance,
    }));
    return { version: this.#version, rows };
  }

  dumpState(): unknown {
    return [...this.#entries.values()].map(({ state }) => state.dumpState());
  }

  #accept(id: string, version: number, instance: Instance): void {
    const known = this.#entries.get(id);
    if (known === undefined) {
      this.#add(id, version, instance);
      return;
    }
    const { state } = known;
    if (version < known.version || InstanceRegistry.#isOlder(instance, state.instance)) {
      return;
    }
    if (InstanceRegistry.#isSameRun(instance, state.instance)) {
      if (instance.isLeaving && !state.instance.isLeaving) {
        this.#options.log.info({ instance: id, version }, 'instance is leaving');
      }
      state.update(instance);
      this.#revision += 1;
      this.#entries.set(id, { state, version, missingSinceMs: undefined });
      return;
    }
    state.pool.close();
    this.#add(id, version, instance);
  }

  #add(id: string, version: number, instance: Instance): void {
    const { connectTimeoutMs, routing, log } = this.#options;
    const engine = routing.current?.findService(instance.service)?.engine;
    const kvCapacityTokens = engine?.kvCapacityTokens ?? DEFAULT_KV_TOKENS;
    const state = new InstanceState(instance, { connectTimeoutMs, kvCapacityTokens });
    this.#entries.set(id, { state, version, missingSinceMs: undefined });
    this.#revision += 1;
    const { address, service, domain, stage } = instance;
    log.info({ instance: id, version, address, service, domain, stage }, 'instance found');
  }

  #remove(id: string, version: number): void {
    const entry = this.#entries.get(id);
    if (entry === undefined || version < entry.version) {
      return;
    }
    const nowMs = this.#options.clock.nowMs();
    if (nowMs < this.#doubtUntilMs) {
      const missingSinceMs = entry.missingSinceMs ?? nowMs;
      this.#entries.set(id, { ...entry, version, missingSinceMs });
      return;
    }
    this.#drop(id, entry);
  }

  #dropMissing(): void {
    if (this.#options.clock.nowMs() < this.#doubtUntilMs) {
      return;
    }
    this.#entries.forEach((entry, id) => {
      if (entry.missingSinceMs !== undefined) {
        this.#drop(id, entry);
      }
    });
  }

  #drop(id: string, entry: Entry): void {
    entry.state.pool.close();
    this.#entries.delete(id);
    this.#revision += 1;
    this.#options.log.info({ instance: id, version: entry.version }, 'instance is gone');
  }

  /** Whether a statement was made before the one that is known. */
  static #isOlder(next: Instance, known: Instance): boolean {
    return (
      next.startedAtMs < known.startedAtMs ||
      (next.startedAtMs === known.startedAtMs && next.sequence < known.sequence)
    );
  }

  static #isSameRun(next: Instance, known: Instance): boolean {
    return next.startedAtMs === known.startedAtMs && next.address === known.address;
  }
}
