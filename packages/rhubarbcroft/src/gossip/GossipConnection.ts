/** The task of one gossip connection that a peer opened: answers its requests and applies its notices. */
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type Logger from 'bunyan';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';
import type FrameCodec from '../peers/FrameCodec.js';
import Task from '../supervision/Task.js';
import type GossipState from './GossipState.js';
import type GossipMessage from './GossipMessage.js';
import type DispatchedPrompt from './DispatchedPrompt.js';
import createGossipCodec from './createGossipCodec.js';
import parsePace from './parsePace.js';

/** A connection without activity for this long is closed; a peer that has something to send opens another. */
const SILENCE_TIMEOUT_MS = 15_000;

/** The interval between pulses to a follower; its state lags the leader's by at most about this long. */
const PULSE_PERIOD_MS = 250;

/** A follower with more unread bytes than this is assumed to be down or not reading, and is disconnected. */
const MAX_UNSENT_BYTES = 1_048_576;

type WireDispatch = Extract<GossipMessage, { readonly type: 'notices' }>['sends'][number];

function decodeDispatch([
  instanceId,
  rank,
  prefillMs,
  outputTokens,
  ...parts
]: WireDispatch): DispatchedPrompt {
  const sharedParts = [];
  for (let at = 0; at + 1 < parts.length; at += 2) {
    sharedParts.push({ id: String(parts[at]), tokens: Number(parts[at + 1]) });
  }
  const ownTokens = parts.length % 2 === 0 ? 0 : Number(parts.at(-1));
  return { instanceId, rank, prefillMs, outputTokens, ownTokens, sharedParts };
}

export default class GossipConnection extends Task {
  override readonly name = 'knowledge-connection';

  readonly #socket: Socket;

  readonly #state: GossipState;

  readonly #log: Logger;

  constructor(socket: Socket, state: GossipState, log: Logger) {
    super();
    this.#socket = socket;
    this.#state = state;
    this.#log = log;
    // A follower sends nothing after its first message, but it reads the pulses, which counts as activity.
    socket.setTimeout(SILENCE_TIMEOUT_MS, () => socket.destroy());
    socket.on('error', (error) =>
      log.debug({ reason: error.message }, 'gossip connection from a peer failed; closing it'),
    );
  }

  override async run(signal: AbortSignal): Promise<void> {
    const codec = createGossipCodec();
    signal.addEventListener('abort', () => this.#socket.destroy(), { once: true });
    try {
      for await (const bytes of this.#socket) {
        const messages = codec.decode(bytes as Buffer);
        if (messages.isErr) {
          this.#log.warn(
            { reason: describeFailure(messages.error) },
            'received an invalid gossip frame from a peer; closing the connection',
          );
          return;
        }
        messages.value.forEach((message) => {
          if (message.type === 'ask') {
            this.#state.addNodes([message.address]);
            this.#socket.write(
              codec.encode({ type: 'tell', knowledge: this.#state.createSnapshot(message) }),
            );
          } else if (message.type === 'follow') {
            void this.#sendPulses(codec, message.instancesVersion);
          } else if (message.type === 'notices') {
            message.sends.forEach((dispatch) =>
              this.#state.recordDispatch(decodeDispatch(dispatch)),
            );
            message.unreachable.forEach((instanceId) => this.#state.recordUnreachable(instanceId));
            message.paces?.forEach((pace) => this.#state.recordPace(parsePace(pace)));
            this.#mergeEvidence(message.evidence);
          }
        });
      }
    } catch (error) {
      this.#log.debug(
        { reason: (error as Error).message },
        'reading from a gossip connection failed; closing it',
      );
    } finally {
      this.#socket.destroy();
    }
  }

  #mergeEvidence(encoded: unknown): void {
    if (encoded === undefined) {
      return;
    }
    if (!this.#state.mergeEvidence(encoded as object)) {
      this.#log.warn('received malformed crash reports from a peer; ignoring them');
    }
  }

  /**
   * Sends a pulse to the follower every `PULSE_PERIOD_MS` until the connection is closed. A pulse carries the
   * instances when they have changed since the last one that did; the first instances are sent when this
   * node's version is at least that of the follower, so that the follower never goes back to an older state.
   */
  async #sendPulses(codec: FrameCodec<GossipMessage>, followerVersion: number): Promise<void> {
    const removeFollower = this.#state.addFollower();
    const socket = this.#socket;
    let lastSentRevision: number | undefined;
    while (!socket.destroyed && socket.writableLength < MAX_UNSENT_BYTES) {
      const { instancesRevision, instancesVersion } = this.#state;
      const hasNewInstances =
        instancesRevision !== lastSentRevision && instancesVersion >= followerVersion;
      lastSentRevision = hasNewInstances ? instancesRevision : lastSentRevision;
      socket.write(codec.encode(this.#state.createPulse(hasNewInstances)));
      await sleep(PULSE_PERIOD_MS);
    }
    removeFollower();
    socket.destroy();
  }
}
