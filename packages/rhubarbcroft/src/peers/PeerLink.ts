/**
 * The task of one peer that this node sends to: connects, authenticates, then sends a heartbeat each period and
 * every broadcast message. When the peer has not answered for several heartbeats, the link reconnects, since one
 * connection can stall while new ones work.
 */
import { connect } from 'node:net';
import type PeerMessage from '@rhubarbcroft/protocol/peers/PeerMessage';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';
import Task from '../supervision/Task.js';
import waitForAbort from '../supervision/waitForAbort.js';
import type PeerContext from './PeerContext.js';
import PeerSocket from './PeerSocket.js';

/** The connection is closed when nothing has been received for this many heartbeat periods. */
const MAX_MISSED_HEARTBEATS = 3;
const RECONNECT_MIN_MS = 100;
const RECONNECT_MAX_MS = 2_000;

export default class PeerLink extends Task {
  override readonly name: string;

  readonly #address: string;

  readonly #context: PeerContext;

  readonly #createHeartbeat: () => PeerMessage;

  #socket: PeerSocket | undefined;

  #peerId: string | undefined;

  #peerDomain: string | undefined;

  #lastReceivedAtMs = 0;

  constructor(address: string, context: PeerContext, createHeartbeat: () => PeerMessage) {
    super();
    this.name = `peer-link ${address}`;
    this.#address = address;
    this.#context = context;
    this.#createHeartbeat = createHeartbeat;
  }

  /** Whether the peer is connected and authenticated. */
  get isOpen(): boolean {
    return this.#peerId !== undefined;
  }

  /** The failure domain of the connected peer; undefined before its first authentication. */
  get peerDomain(): string | undefined {
    return this.#peerDomain;
  }

  /** Sends a message if the link is open; otherwise drops it, since later periodic messages replace it. */
  send(message: PeerMessage): void {
    if (this.isOpen) {
      this.#socket?.send(message);
    }
  }

  override async run(signal: AbortSignal): Promise<void> {
    let delayMs = RECONNECT_MIN_MS;
    await Promise.race([this.#context.bound, waitForAbort(signal)]);
    while (!signal.aborted) {
      const wasOpened = await this.#runConnection(signal);
      delayMs = wasOpened ? RECONNECT_MIN_MS : Math.min(delayMs * 2, RECONNECT_MAX_MS);
      await this.#context.clock.sleep(delayMs, signal);
    }
  }

  override dumpState(): unknown {
    return { peer: this.#peerId ?? null, domain: this.#peerDomain ?? null };
  }

  async #runConnection(signal: AbortSignal): Promise<boolean> {
    const { directory, key, handler, log, metrics, maxFrameBytes, traffic } = this.#context;
    const [host, port] = this.#address.split(':');
    const socket = new PeerSocket(connect({ host, port: Number(port) }), maxFrameBytes, traffic);
    const connection = new AbortController();
    const closeSocket = (): void => socket.close();
    signal.addEventListener('abort', closeSocket, { once: true });
    this.#lastReceivedAtMs = this.#context.clock.nowMs();
    const heartbeats = this.#sendHeartbeats(socket, connection.signal);
    const messages = socket.receive();
    const peer = await socket.authenticate(messages, directory.own, key);
    if (peer.isOk) {
      this.#socket = socket;
      this.#peerId = peer.value.nodeId;
      this.#peerDomain = peer.value.domain;
      handler.createInitialMessages().forEach((message) => socket.send(message));
      for await (const message of messages) {
        this.#lastReceivedAtMs = this.#context.clock.nowMs();
        handler.handle(message, (reply) => socket.send(reply));
      }
    } else if (peer.error.detail.includes('wrong')) {
      metrics.increment('peer.refused');
      log.warn(
        { address: this.#address, reason: describeFailure(peer.error) },
        'peer authentication failed; reconnecting after a delay',
      );
    }
    this.#peerId = undefined;
    this.#socket = undefined;
    connection.abort();
    closeSocket();
    signal.removeEventListener('abort', closeSocket);
    await heartbeats;
    return peer.isOk;
  }

  async #sendHeartbeats(socket: PeerSocket, signal: AbortSignal): Promise<void> {
    const { clock, heartbeatMs } = this.#context;
    while (!signal.aborted) {
      if (clock.nowMs() - this.#lastReceivedAtMs > heartbeatMs * MAX_MISSED_HEARTBEATS) {
        socket.close();
        return;
      }
      this.send(this.#createHeartbeat());
      await clock.sleep(heartbeatMs, signal);
    }
  }
}
