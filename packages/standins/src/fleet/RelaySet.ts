/**
 * The relays of one local fleet, by name. Each relay runs until `stop` ends all of them, so that a process
 * that is restarted on its port is reached through the same relay.
 */
import Relay from './Relay.js';

export default class RelaySet {
  #relays: ReadonlyMap<string, Relay> = new Map();

  /** Returns the relay of that name, and starts it with the target `targetPort` if there is none yet. */
  async getOrStart(name: string, targetPort: number): Promise<Relay> {
    const existing = this.#relays.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const started = await Relay.start(targetPort);
    this.#relays = new Map([...this.#relays, [name, started]]);
    return started;
  }

  /** Returns the relay of that name; throws if the fleet's plan has none there. */
  get(name: string): Relay {
    const relay = this.#relays.get(name);
    if (relay === undefined) {
      throw new Error(
        `the local fleet has no relay "${name}": add it to "relays" of the fleet's plan`,
      );
    }
    return relay;
  }

  /** Returns the relays whose names match. */
  list(matches: (name: string) => boolean): readonly Relay[] {
    return [...this.#relays].filter(([name]) => matches(name)).map(([, relay]) => relay);
  }

  async stop(): Promise<void> {
    await Promise.all(this.list(() => true).map((relay) => relay.stop()));
  }
}
