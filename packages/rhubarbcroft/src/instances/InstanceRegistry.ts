/**
 * The registered instances, as learned from the store and from peers.
 *
 * Updates of an instance only move forward: one with an earlier start or a lower sequence is a late write and
 * is ignored. An entry that disappears during an outage of the store, or shortly after it, may still be alive,
 * because entries expire when they cannot be renewed; it is removed if it is still missing after a grace
 * period. Any other removal takes effect immediately. An entry that cannot be used counts as removed.
 *
 * An instance may also announce in an answer that it leaves, which holds for the rest of its run.
 */
import type Logger from 'bunyan';
import type FeedPage from '../discovery/FeedPage.js';
import FeedConsumer from '../discovery/FeedConsumer.js';
import type CurrentRouting from '../routes/CurrentRouting.js';
import type Clock from '../supervision/Clock.js';
import type Instance from './Instance.js';
import InstanceState from './InstanceState.js';
import LeavingRuns from './LeavingRuns.js';
import findInstanceFault from './findInstanceFault.js';

interface InstanceRegistryOptions {
  readonly routing: CurrentRouting;
  readonly clock: Clock;
  readonly log: Logger;
  readonly connectTimeoutMs: number;
}

interface Entry {
  readonly state: InstanceState;
  readonly version: number;
  /** When the entry disappeared, if that was within a grace period; undefined while it is present. */
  readonly missingSinceMs: number | undefined;
}

/** Expired entries are registered again within about two seconds after the platform's store is back. */
const REMOVAL_GRACE_MS = 2_500;

export default class InstanceRegistry extends FeedConsumer<Instance> {
  readonly #options: InstanceRegistryOptions;

  readonly #entries = new Map<string, Entry>();

  readonly #leavingRuns = new LeavingRuns();

  #version = 0;

  #revision = 0;

  /** Entries that disappear before this time are kept until then. */
  #graceUntilMs = -Infinity;

  constructor(options: InstanceRegistryOptions) {
    super();
    this.#options = options;
  }

  /** The version of the store's table that this registry reflects; 0 before the first listing. */
  get version(): number {
    return this.#version;
  }

  /** Increases whenever an instance is added, updated or removed. */
  get revision(): number {
    this.#removeMissing();
    return this.#revision;
  }

  override replaceAll(page: FeedPage<Instance>): void {
    if (page.version < this.#version) {
      return;
    }
    const presentIds = new Set(page.rows.map(({ key }) => key));
    this.applyChanges(page);
    [...this.#entries.keys()].forEach((id) => {
      if (!presentIds.has(id)) {
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
   * Applies the instances of a peer. Entries that are missing there are removed only if the peer is current,
   * that is, connected to the store itself; otherwise they are kept as in an outage.
   */
  applyPeerPage(page: FeedPage<Instance>, isCurrent: boolean): void {
    const graceUntilMs = this.#graceUntilMs;
    this.#graceUntilMs = isCurrent ? -Infinity : Infinity;
    try {
      this.replaceAll(page);
    } finally {
      this.#graceUntilMs = graceUntilMs;
    }
  }

  override handleOutage(): void {
    this.#graceUntilMs = Infinity;
  }

  override handleRecovery(): void {
    this.#graceUntilMs = this.#options.clock.nowMs() + REMOVAL_GRACE_MS;
  }

  /** Lists the instances of a service that may be given new requests. */
  listAvailable(service: string): readonly InstanceState[] {
    this.#removeMissing();
    return [...this.#entries.values()]
      .map(({ state }) => state)
      .filter(({ instance, isLeaving }) => instance.service === service && !isLeaving);
  }

  /** Lists the leaving instances of a service: they accept no new requests, but still have their KV caches. */
  listLeaving(service: string): readonly InstanceState[] {
    return [...this.#entries.values()]
      .map(({ state }) => state)
      .filter(({ instance, isLeaving }) => instance.service === service && isLeaving);
  }

  /** Records that an instance announced in an answer that it leaves. */
  recordLeaving(state: InstanceState): void {
    const { instance, isLeaving } = state;
    this.#leavingRuns.add(instance);
    state.announceLeaving();
    if (!isLeaving) {
      this.#options.log.info(
        { instance: instance.id, startedAtMs: instance.startedAtMs },
        'instance announces in its answers that it leaves; it gets no new requests',
      );
    }
  }

  find(id: string): InstanceState | undefined {
    return this.#entries.get(id)?.state;
  }

  /** Creates a page of all known instances to send to a peer. */
  createPage(): FeedPage<Instance> {
    this.#removeMissing();
    const rows = [...this.#entries].map(([key, { state, version }]) => ({
      key,
      version,
      value: state.instance,
    }));
    return { version: this.#version, rows };
  }

  dumpState(): unknown {
    const nowMs = this.#options.clock.nowMs();
    return [...this.#entries.values()].map(({ state }) => state.dumpState(nowMs));
  }

  #accept(id: string, version: number, instance: Instance): void {
    const fault = instance.id === id ? findInstanceFault(instance) : 'its id is not its key';
    if (fault !== undefined) {
      this.#options.log.warn(
        { instance: id, version, reason: fault },
        'instance cannot be used; treating it as removed',
      );
      this.#remove(id, version);
      return;
    }
    const existing = this.#entries.get(id);
    if (existing === undefined) {
      this.#add(id, version, instance);
      return;
    }
    const { state } = existing;
    if (version < existing.version || InstanceRegistry.#isOlder(instance, state.instance)) {
      return;
    }
    if (InstanceRegistry.#isSameRun(instance, state.instance)) {
      if (instance.isLeaving && !state.instance.isLeaving) {
        this.#options.log.info(
          { instance: id, version },
          'instance is leaving; it gets no new requests',
        );
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
    const kvCapacityTokens = engine?.kvCapacityTokens;
    const state = new InstanceState(instance, { connectTimeoutMs, kvCapacityTokens });
    if (this.#leavingRuns.has(instance)) {
      state.announceLeaving();
    }
    this.#entries.set(id, { state, version, missingSinceMs: undefined });
    this.#revision += 1;
    const { address, service, domain, stage } = instance;
    log.info({ instance: id, version, address, service, domain, stage }, 'instance discovered');
  }

  #remove(id: string, version: number): void {
    const entry = this.#entries.get(id);
    if (entry === undefined || version < entry.version) {
      return;
    }
    const nowMs = this.#options.clock.nowMs();
    if (nowMs < this.#graceUntilMs) {
      const missingSinceMs = entry.missingSinceMs ?? nowMs;
      this.#entries.set(id, { ...entry, version, missingSinceMs });
      return;
    }
    this.#delete(id, entry);
  }

  #removeMissing(): void {
    if (this.#options.clock.nowMs() < this.#graceUntilMs) {
      return;
    }
    this.#entries.forEach((entry, id) => {
      if (entry.missingSinceMs !== undefined) {
        this.#delete(id, entry);
      }
    });
  }

  #delete(id: string, entry: Entry): void {
    entry.state.pool.close();
    this.#entries.delete(id);
    this.#revision += 1;
    this.#options.log.info(
      { instance: id, version: entry.version },
      'instance removed: its registration is gone',
    );
  }

  /** Whether an update was registered before the known one. */
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
