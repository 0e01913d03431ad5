/** The task of one connection on which a peer asks what this node knows. */
import type { Socket } from 'node:net';
import type Logger from 'bunyan';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';
import Task from '../supervision/Task.js';
import type KnowledgeBase from './KnowledgeBase.js';
import createKnowledgeCodec from './createKnowledgeCodec.js';

/** A peer asks as soon as it is connected; a connection that stays silent is dropped. */
const SILENCE_TIMEOUT_MS = 5_000;

export default class KnowledgeConnection extends Task {
  override readonly name = 'knowledge-connection';

  readonly #socket: Socket;

  readonly #base: KnowledgeBase;

  readonly #log: Logger;

  constructor(socket: Socket, base: KnowledgeBase, log: Logger) {
    super();
    this.#socket = socket;
    this.#base = base;
    this.#log = log;
    socket.setTimeout(SILENCE_TIMEOUT_MS, () => socket.destroy());
    socket.on('error', (error) => log.debug({ reason: error.message }, 'peer connection broke'));
  }

  override async run(signal: AbortSignal): Promise<void> {
    const codec = createKnowledgeCodec();
    signal.addEventListener('abort', () => this.#socket.destroy(), { once: true });
    try {
      for await (const bytes of this.#socket) {
        const messages = codec.decode(bytes as Buffer);
        if (messages.isErr) {
          this.#log.warn({ reason: describeFailure(messages.error) }, 'peer connection closed');
          return;
        }
        messages.value.forEach((message) => {
          if (message.type === 'ask') {
            this.#base.addNodes([message.address]);
            this.#socket.write(codec.encode({ type: 'tell', knowledge: this.#base.tell(message) }));
          }
        });
      }
    } catch (error) {
      this.#log.debug({ reason: (error as Error).message }, 'peer connection broke');
    } finally {
      this.#socket.destroy();
    }
  }
}
