/** The task of one connection on which a peer asks what this node knows. */
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type Logger from 'bunyan';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';
import type FrameCodec from '../peers/FrameCodec.js';
import Task from '../supervision/Task.js';
import type KnowledgeBase from './KnowledgeBase.js';
import type KnowledgeMessage from './KnowledgeMessage.js';
import type PromptNotice from './PromptNotice.js';
import createKnowledgeCodec from './createKnowledgeCodec.js';

/** A connection on which nothing came for this long is dropped; a peer that has something to say opens another. */
const SILENCE_TIMEOUT_MS = 15_000;

/** How often a follower is told what is known; what it knows is at most this much older. */
const PULSE_PERIOD_MS = 250;

/** What a follower has not taken; more means that it is gone or does not read. */
const MAX_UNSENT_BYTES = 1_048_576;

type WireSend = Extract<KnowledgeMessage, { readonly type: 'notices' }>['sends'][number];

function decodeSend([instanceId, rank, prefillMs, outputTokens, ...parts]: WireSend): PromptNotice {
  const sharedParts = [];
  for (let at = 0; at + 1 < parts.length; at += 2) {
    sharedParts.push({ id: String(parts[at]), tokens: Number(parts[at + 1]) });
  }
  return { instanceId, rank, prefillMs, outputTokens, sharedParts };
}

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
    // A follower says nothing after its first message, but takes what it is told, which counts as activity.
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
          } else if (message.type === 'follow') {
            void this.#pulse(codec, message.instancesVersion);
          } else if (message.type === 'notices') {
            message.sends.forEach((send) => this.#base.noteSend(decodeSend(send)));
            message.unreachable.forEach((instanceId) => this.#base.noteUnreachable(instanceId));
          }
        });
      }
    } catch (error) {
      this.#log.debug({ reason: (error as Error).message }, 'peer connection broke');
    } finally {
      this.#socket.destroy();
    }
  }

  /**
   * Tells the peer of each change of the versions, and a few times a second that there was none, for as long
   * as the connection lives. The first instances go out when this node knows at least as much as the peer.
   */
  async #pulse(codec: FrameCodec<KnowledgeMessage>, knownVersion: number): Promise<void> {
    const endFollowing = this.#base.addFollower();
    const socket = this.#socket;
    let sentRevision: number | undefined;
    while (!socket.destroyed && socket.writableLength < MAX_UNSENT_BYTES) {
      const { instancesRevision, instancesVersion } = this.#base;
      const isNew = instancesRevision !== sentRevision && instancesVersion >= knownVersion;
      sentRevision = isNew ? instancesRevision : sentRevision;
      socket.write(codec.encode(this.#base.createPulse(isNew)));
      await sleep(PULSE_PERIOD_MS);
    }
    endFollowing();
    socket.destroy();
  }
}
