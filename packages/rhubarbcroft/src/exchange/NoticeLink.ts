/**
 * The task of one peer that is told of this node's sends: connect, then write each batch. A batch that the
 * peer cannot take at once is dropped: it is worth nothing a second later.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';

const RECONNECT_MIN_MS = 500;
const RECONNECT_MAX_MS = 4_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** Some batches of a busy node; more unsent bytes mean that the peer does not read. */
const MAX_UNSENT_BYTES = 16_384;

export default class NoticeLink extends Task {
  override readonly name: string;

  readonly #address: string;

  readonly #clock: Clock;

  #socket: Socket | undefined;

  constructor(address: string, clock: Clock) {
    super();
    this.name = `notices ${address}`;
    this.#address = address;
    this.#clock = clock;
  }

  send(frame: Buffer): void {
    const socket = this.#socket;
    if (socket === undefined) {
      return;
    }
    if (socket.writableLength > MAX_UNSENT_BYTES) {
      socket.destroy();
    } else {
      socket.write(frame);
    }
  }

  override async run(signal: AbortSignal): Promise<void> {
    let delayMs = RECONNECT_MIN_MS;
    while (!signal.aborted) {
      const opened = await this.#hold(signal);
      delayMs = opened ? RECONNECT_MIN_MS : Math.min(delayMs * 2, RECONNECT_MAX_MS);
      await this.#clock.sleep(delayMs, signal);
    }
  }

  /** Connects and holds the connection until it ends; returns whether it was made. */
  async #hold(signal: AbortSignal): Promise<boolean> {
    const [host, port] = this.#address.split(':');
    const socket = connect({ host, port: Number(port), noDelay: true });
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    const close = (): void => {
      socket.destroy();
    };
    signal.addEventListener('abort', close, { once: true });
    socket.once('connect', () => {
      clearTimeout(timer);
      this.#socket = socket;
    });
    // The peer's end shows as an error or a close; either way the link connects anew.
    socket.on('error', close);
    socket.resume();
    // Not `once` of node:events, which throws on an error: a peer that is down is no failure of this task.
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    clearTimeout(timer);
    signal.removeEventListener('abort', close);
    const opened = this.#socket === socket;
    this.#socket = undefined;
    return opened;
  }
}
