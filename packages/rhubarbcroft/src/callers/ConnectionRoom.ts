/** Keeps some of a listener's connections free: when nearly all are taken, those that wait longest for their caller close. */
import chooseClosing from '../decisions/intake/chooseClosing.js';
import type Clock from '../supervision/Clock.js';
import type HttpConnection from './HttpConnection.js';

/** The part of the connections that is kept free. */
const FREE_SHARE = 0.05;
const CHECK_PERIOD_MS = 100;

export default class ConnectionRoom {
  readonly #connections = new Set<HttpConnection>();

  readonly #clock: Clock;

  readonly #freeCount: number;

  readonly #fullCount: number;

  #checkedAtMs = -Infinity;

  constructor(maxConnections: number, clock: Clock) {
    this.#clock = clock;
    this.#freeCount = Math.ceil(maxConnections * FREE_SHARE);
    this.#fullCount = maxConnections - this.#freeCount;
  }

  add(connection: HttpConnection): void {
    this.#connections.add(connection);
    if (this.#connections.size >= this.#fullCount) {
      this.make();
    }
  }

  remove(connection: HttpConnection): void {
    this.#connections.delete(connection);
  }

  /** Closes waiting connections until enough are free. */
  make(): void {
    const nowMs = this.#clock.nowMs();
    // Connections that were too young to close are at most looked at ten times a second.
    if (nowMs - this.#checkedAtMs < CHECK_PERIOD_MS) {
      return;
    }
    this.#checkedAtMs = nowMs;
    const count = this.#connections.size - this.#fullCount + this.#freeCount;
    chooseClosing([...this.#connections], count, nowMs).forEach((connection) =>
      connection.giveWay(),
    );
  }
}
