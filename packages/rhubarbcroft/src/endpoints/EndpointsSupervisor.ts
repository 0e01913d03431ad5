/** Supervises one load reader for each endpoint of the active fleet document. */
import type Logger from 'bunyan';
import type Fleet from '../configuration/Fleet.js';
import type CurrentFleet from '../configuration/CurrentFleet.js';
import type Clock from '../supervision/Clock.js';
import Supervisor from '../supervision/Supervisor.js';
import type EndpointRegistry from './EndpointRegistry.js';
import LoadReader from './LoadReader.js';

type ReaderContext = ConstructorParameters<typeof LoadReader>[1];

export default class EndpointsSupervisor extends Supervisor {
  readonly #registry: EndpointRegistry;

  readonly #context: ReaderContext;

  #endpointIds: ReadonlySet<string> = new Set();

  constructor(currentFleet: CurrentFleet, context: ReaderContext, clock: Clock, log: Logger) {
    super('endpoints', clock, log);
    this.#registry = context.registry;
    this.#context = context;
    currentFleet.onChange((fleet) => this.#applyFleet(fleet));
  }

  override async run(signal: AbortSignal): Promise<void> {
    try {
      await super.run(signal);
    } finally {
      await this.#registry.close();
    }
  }

  override dumpState(): unknown {
    return this.#registry.dumpState();
  }

  #applyFleet(fleet: Fleet): void {
    this.#registry.applyFleet(fleet);
    const declared = new Set(fleet.document.endpoints.map((endpoint) => endpoint.id));
    for (const id of declared) {
      this.add(new LoadReader(id, this.#context));
    }
    for (const id of this.#endpointIds) {
      if (!declared.has(id)) {
        void this.remove(`load-reader ${id}`);
      }
    }
    this.#endpointIds = declared;
  }
}
