/**
 * Holds the fleet that is in force on this node. Its version only grows: a candidate of the same or an older
 * version, from a stale read or a lagging peer, is ignored.
 */
import type FleetVersion from '@rhubarbcroft/protocol/fleet/FleetVersion';
import Fleet from './Fleet.js';

type Listener = (fleet: Fleet) => void;

export default class CurrentFleet {
  #current: Fleet | undefined;

  #listeners: readonly Listener[] = [];

  get current(): Fleet | undefined {
    return this.#current;
  }

  /** The version in force; 0 before the first fleet document. */
  get version(): number {
    return this.#current?.version ?? 0;
  }

  /** Puts the candidate in force if it is newer, notifies the listeners, and returns whether it was newer. */
  applyIfNewer(candidate: FleetVersion): boolean {
    if (candidate.version <= this.version) {
      return false;
    }
    const fleet = new Fleet(candidate);
    this.#current = fleet;
    this.#listeners.forEach((listener) => listener(fleet));
    return true;
  }

  onChange(listener: Listener): void {
    this.#listeners = [...this.#listeners, listener];
  }
}
