/**
 * Polls the head row of the fleet document and puts each newer version in force. While the platform is
 * unreachable, the node keeps its current version and receives newer ones from its peers.
 */
import type Logger from 'bunyan';
import PeriodicTask from '../supervision/PeriodicTask.js';
import type Clock from '../supervision/Clock.js';
import type CurrentFleet from './CurrentFleet.js';
import type FleetRepository from './FleetRepository.js';

export default class FleetPoller extends PeriodicTask {
  override readonly name = 'fleet-poller';

  readonly #currentFleet: CurrentFleet;

  readonly #repository: FleetRepository;

  readonly #log: Logger;

  #platformReachable = true;

  constructor(
    currentFleet: CurrentFleet,
    repository: FleetRepository,
    clock: Clock,
    pollMs: number,
    log: Logger,
  ) {
    super(clock, pollMs);
    this.#currentFleet = currentFleet;
    this.#repository = repository;
    this.#log = log;
  }

  override dumpState(): unknown {
    return { version: this.#currentFleet.version, platformReachable: this.#platformReachable };
  }

  protected override async runOnce(): Promise<void> {
    const version = await this.#repository.readVersion();
    this.#recordReachability(version.isOk);
    if (version.isErr || version.value <= this.#currentFleet.version) {
      return;
    }
    const fleet = await this.#repository.readFleet(version.value);
    if (fleet.isErr) {
      this.#log.warn(
        { failure: fleet.error },
        'failed to read the fleet document; keeping the version in force',
      );
      return;
    }
    this.#currentFleet.applyIfNewer(fleet.value);
    this.#log.info({ version: fleet.value.version, from: 'platform' }, 'fleet in force');
  }

  #recordReachability(reachable: boolean): void {
    if (reachable !== this.#platformReachable) {
      this.#log.warn({ reachable }, 'platform reachability changed');
    }
    this.#platformReachable = reachable;
  }
}
