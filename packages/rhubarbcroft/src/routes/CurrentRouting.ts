/** The routing table in force. Its version only increases: an older document is ignored, whatever its source. */
import type RoutingDocument from './RoutingDocument.js';
import RoutingTable from './RoutingTable.js';

export default class CurrentRouting {
  #current: RoutingTable | undefined;

  #listeners: readonly ((table: RoutingTable) => void)[] = [];

  get current(): RoutingTable | undefined {
    return this.#current;
  }

  /** The version of the document in force; 0 before the first one. */
  get version(): number {
    return this.#current?.document.version ?? 0;
  }

  /** Registers a listener that is called with each new routing table. */
  onChange(listener: (table: RoutingTable) => void): void {
    this.#listeners = [...this.#listeners, listener];
  }

  /** Puts a newer document in force and returns true; returns false when it is not newer than the current one. */
  accept(document: RoutingDocument): boolean {
    if (document.version <= this.version) {
      return false;
    }
    const table = new RoutingTable(document);
    this.#current = table;
    this.#listeners.forEach((listener) => listener(table));
    return true;
  }
}
