/** Holds the routing table in force. A version never goes back, whoever offers an older one. */
import type RoutingDocument from './RoutingDocument.js';
import RoutingTable from './RoutingTable.js';

export default class RoutingHolder {
  #current: RoutingTable | undefined;

  #listeners: readonly ((table: RoutingTable) => void)[] = [];

  get current(): RoutingTable | undefined {
    return this.#current;
  }

  get version(): number {
    return this.#current?.document.version ?? 0;
  }

  onChange(listener: (table: RoutingTable) => void): void {
    this.#listeners = [...this.#listeners, listener];
  }

  /** Puts a document in force and returns true, unless it is not newer than the present one. */
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
