/** The endpoints of the active fleet document, with their states and drivers. */
import type Fleet from '../configuration/Fleet.js';
import type EndpointView from '../decisions/EndpointView.js';
import type DrainRegistry from '../membership/DrainRegistry.js';
import type DomainPosition from '../membership/DomainPosition.js';
import type VmRegistry from '../membership/VmRegistry.js';
import type Clock from '../supervision/Clock.js';
import type DriverFactory from './DriverFactory.js';
import type EngineDriver from './EngineDriver.js';
import EndpointState from './EndpointState.js';
import type ServiceDriver from './ServiceDriver.js';

interface Entry {
  readonly state: EndpointState;
  readonly engine: EngineDriver | undefined;
  readonly service: ServiceDriver | undefined;
}

interface RegistrySources {
  readonly drains: DrainRegistry;
  readonly vms: VmRegistry;
  /** Returns this node's position among the live nodes of its failure domain. */
  readonly findDomainPosition: () => DomainPosition;
}

/** How long an endpoint has been leaving before its streams move, unless its drain sets another delay. */
const DEFAULT_HANDOVER_AFTER_MS = 1_000;

export default class EndpointRegistry {
  readonly #clock: Clock;

  readonly #drivers: DriverFactory;

  readonly #sources: RegistrySources;

  #entries: ReadonlyMap<string, Entry> = new Map();

  #fleet: Fleet | undefined;

  readonly #leavingSinceMs = new Map<string, number>();

  constructor(clock: Clock, drivers: DriverFactory, sources: RegistrySources) {
    this.#clock = clock;
    this.#drivers = drivers;
    this.#sources = sources;
  }

  /** Applies a fleet document: keeps unchanged endpoints, creates new ones and closes removed ones. */
  applyFleet(fleet: Fleet): void {
    const previous = this.#entries;
    const entries = new Map<string, Entry>();
    for (const declaration of fleet.document.endpoints) {
      const existing = previous.get(declaration.id);
      const isUnchanged =
        existing !== undefined &&
        JSON.stringify(existing.state.declaration) === JSON.stringify(declaration);
      entries.set(declaration.id, isUnchanged ? existing : this.#createEntry(declaration));
    }
    this.#fleet = fleet;
    this.#entries = entries;
    for (const [id, entry] of previous) {
      if (entries.get(id) !== entry) {
        void this.#closeEntry(entry);
      }
    }
  }

  get(id: string): Entry | undefined {
    return this.#entries.get(id);
  }

  list(): readonly Entry[] {
    return [...this.#entries.values()];
  }

  /** Whether the fleet document, a drain or the endpoint's VM takes the endpoint out of service. */
  isLeaving(id: string): boolean {
    const { drains, vms } = this.#sources;
    return this.#fleet?.isDraining(id) === true || drains.isDraining(id) || vms.isLeaving(id);
  }

  /** Whether streams of the endpoint are due to resume on another one: it has been leaving for its delay. */
  isHandoverDue(id: string): boolean {
    const isLeaving = this.isLeaving(id) || this.#entries.get(id)?.state.report?.leaving === true;
    if (!isLeaving) {
      this.#leavingSinceMs.delete(id);
      return false;
    }
    const nowMs = this.#clock.nowMs();
    const sinceMs = this.#leavingSinceMs.get(id) ?? nowMs;
    this.#leavingSinceMs.set(id, sinceMs);
    const afterMs = this.#sources.drains.getHandoverAfterMs(id) ?? DEFAULT_HANDOVER_AFTER_MS;
    return nowMs - sinceMs > afterMs;
  }

  listViews(ids: readonly string[]): readonly EndpointView[] {
    const nowMs = this.#clock.nowMs();
    const position = this.#sources.findDomainPosition();
    const views: EndpointView[] = [];
    for (const id of ids) {
      const entry = this.#entries.get(id);
      if (entry !== undefined) {
        views.push(entry.state.createView(nowMs, this.isLeaving(id), position));
      }
    }
    return views;
  }

  /**
   * Lists the endpoints of a group as candidates for new work. When none is available, the suspect ones count as
   * available: on an overloaded node every endpoint seems slow to answer, and refusing all requests would be worse
   * than trying an endpoint that fails.
   */
  listCandidates(ids: readonly string[]): readonly EndpointView[] {
    const views = this.listViews(ids);
    if (views.some(({ available }) => available)) {
      return views;
    }
    return views.map((view) => ({
      ...view,
      available:
        !this.isLeaving(view.id) && this.#entries.get(view.id)?.state.isFallbackCandidate === true,
    }));
  }

  async close(): Promise<void> {
    await Promise.all([...this.#entries.values()].map((entry) => this.#closeEntry(entry)));
  }

  dumpState(): unknown {
    const nowMs = this.#clock.nowMs();
    return this.list().map(({ state }) => ({
      ...state.createView(
        nowMs,
        this.isLeaving(state.declaration.id),
        this.#sources.findDomainPosition(),
      ),
      leaving: this.isLeaving(state.declaration.id),
      reachable: state.reachable,
      bootId: state.report?.bootId ?? null,
    }));
  }

  #createEntry(declaration: EndpointState['declaration']): Entry {
    const state = new EndpointState(declaration, this.#clock.nowMs());
    return declaration.kind === 'engine'
      ? {
          state,
          engine: this.#drivers.createEngine(declaration.id, declaration.url),
          service: undefined,
        }
      : {
          state,
          engine: undefined,
          service: this.#drivers.createService(declaration.id, declaration.url),
        };
  }

  async #closeEntry(entry: Entry): Promise<void> {
    await entry.engine?.close();
    await entry.service?.close();
  }
}
