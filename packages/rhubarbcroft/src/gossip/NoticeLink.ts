/**
 * The task of one peer that receives this node's notices: connects, then writes each batch. Batches are dropped
 * while there is no connection, and a connection whose peer does not read is closed, since a notice is worth
 * nothing a second later. What a peer must not miss is sent again with each new connection. A peer that confirms
 * notices and stops doing so is disconnected too, since a machine that is frozen or cut off closes no connection.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';

const RECONNECT_MIN_MS = 500;
/** With the connection time-out below the 4 s after which a peer that was cut off must know what the others know. */
const RECONNECT_MAX_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** Several batches of a busy node; a peer with more unsent bytes is assumed not to read and is disconnected. */
const MAX_UNSENT_BYTES = 16_384;
/** Peers confirm within a third of a second, and a path between regions takes 60 ms. */
const CONFIRMATION_TIMEOUT_MS = 1_000;

export default class NoticeLink extends Task {
  override readonly name: string;

  readonly #address: string;

  readonly #clock: Clock;

  /** Creates the first frame of a connection; undefined when there is nothing to tell. */
  readonly #createGreeting: () => Buffer | undefined;

  #socket: Socket | undefined;

  /** Whether the last connection failed or was lost. */
  #hasFailed = false;

  /** Whether the peer has confirmed notices on this connection. */
  #isConfirming = false;

  /** When the oldest frame that is not confirmed was sent. */
  #unconfirmedSinceMs: number | undefined;

  constructor(
    address: string,
    clock: Clock,
    createGreeting: () => Buffer | undefined = () => undefined,
  ) {
    super();
    this.name = `notices ${address}`;
    this.#address = address;
    this.#clock = clock;
    this.#createGreeting = createGreeting;
  }

  get isConnected(): boolean {
    return this.#socket !== undefined;
  }

  /** Whether the last connection failed or was lost, and no other has been established since. */
  get hasFailed(): boolean {
    return this.#hasFailed;
  }

  /** Writes a frame if the link is connected; otherwise the frame is dropped. */
  send(frame: Buffer): void {
    const socket = this.#socket;
    if (socket === undefined) {
      return;
    }
    const nowMs = this.#clock.nowMs();
    this.#unconfirmedSinceMs ??= nowMs;
    const isSilent =
      this.#isConfirming && nowMs - this.#unconfirmedSinceMs > CONFIRMATION_TIMEOUT_MS;
    if (isSilent || socket.writableLength > MAX_UNSENT_BYTES) {
      this.#hasFailed = true;
      this.#socket = undefined;
      socket.destroy();
    } else {
      socket.write(frame);
    }
  }

  override async run(signal: AbortSignal): Promise<void> {
    let delayMs = RECONNECT_MIN_MS;
    while (!signal.aborted) {
      const wasOpened = await this.#runConnection(signal);
      delayMs = wasOpened ? RECONNECT_MIN_MS : Math.min(delayMs * 2, RECONNECT_MAX_MS);
      await this.#clock.sleep(delayMs, signal);
    }
  }

  /** Connects and waits until the connection closes; returns whether it was established. */
  async #runConnection(signal: AbortSignal): Promise<boolean> {
    const [host, port] = this.#address.split(':');
    const socket = connect({ host, port: Number(port), noDelay: true });
    let wasOpened = false;
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    const close = (): void => {
      socket.destroy();
    };
    signal.addEventListener('abort', close, { once: true });
    socket.once('connect', () => {
      clearTimeout(timer);
      wasOpened = true;
      this.#socket = socket;
      this.#hasFailed = false;
      this.#isConfirming = false;
      this.#unconfirmedSinceMs = undefined;
      const greeting = this.#createGreeting();
      if (greeting !== undefined) {
        this.send(greeting);
      }
    });
    // When the peer ends, the socket reports an error or closes; either way `run` reconnects.
    socket.on('error', close);
    socket.on('data', () => {
      this.#isConfirming = true;
      this.#unconfirmedSinceMs = undefined;
    });
    // `once` of node:events would throw on an error, but a peer that is down is no failure of this task.
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    clearTimeout(timer);
    signal.removeEventListener('abort', close);
    this.#socket = undefined;
    this.#hasFailed = true;
    return wasOpened;
  }
}
