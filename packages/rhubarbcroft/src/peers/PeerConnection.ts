/** The task of one connection that a peer opened to this node: authenticates the peer, then handles its messages. */
import type { Socket } from 'node:net';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';
import Task from '../supervision/Task.js';
import type PeerContext from './PeerContext.js';
import PeerSocket from './PeerSocket.js';

export default class PeerConnection extends Task {
  override readonly name = 'peer-connection';

  readonly #context: PeerContext;

  readonly #socket: PeerSocket;

  constructor(context: PeerContext, socket: Socket) {
    super();
    this.#context = context;
    this.#socket = new PeerSocket(socket, context.maxFrameBytes, context.traffic);
  }

  override async run(signal: AbortSignal): Promise<void> {
    const { directory, key, handler, log, metrics } = this.#context;
    signal.addEventListener('abort', () => this.#socket.close(), { once: true });
    const messages = this.#socket.receive();
    const peer = await this.#socket.authenticate(messages, directory.own, key);
    if (peer.isErr) {
      metrics.increment('peer.refused');
      log.warn(
        { reason: describeFailure(peer.error) },
        'peer authentication failed; closing the connection',
      );
      this.#socket.close();
      return;
    }
    let next = await messages.next();
    while (next.done !== true) {
      handler.handle(next.value, (message) => this.#socket.send(message));
      next = await messages.next();
    }
    if (next.value !== undefined) {
      log.warn(
        { peer: peer.value.nodeId, reason: describeFailure(next.value) },
        'received an invalid frame from a peer; closing the connection',
      );
    }
  }
}
