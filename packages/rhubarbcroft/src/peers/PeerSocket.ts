/**
 * One TCP connection to a peer: frames out, frames in as an async sequence, and the mutual proof of
 * the shared key that opens it.
 */
import { randomUUID } from 'node:crypto';
import type { Socket } from 'node:net';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type PeerMessage from '@rhubarbcroft/protocol/peers/PeerMessage';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type NodeDirectory from '../membership/NodeDirectory.js';
import type FrameCodec from './FrameCodec.js';
import createPeerCodec from './createPeerCodec.js';
import type PeerTraffic from './PeerTraffic.js';
import type PeerKey from './PeerKey.js';

const MAX_UNSENT_BYTES = 16_777_216;

type Hello = Extract<PeerMessage, { readonly type: 'hello' }>;

export default class PeerSocket {
  readonly #socket: Socket;

  readonly #codec: FrameCodec<PeerMessage>;

  readonly #traffic: PeerTraffic;

  constructor(socket: Socket, maxFrameBytes: number, traffic: PeerTraffic) {
    this.#socket = socket;
    this.#traffic = traffic;
    this.#codec = createPeerCodec(maxFrameBytes);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
  }

  /** Sends a message; a peer that does not read is cut off instead of growing the memory. */
  send(message: PeerMessage): void {
    if (this.#socket.writableLength > MAX_UNSENT_BYTES) {
      this.#socket.destroy();
    }
    if (this.#socket.writable) {
      const frame = this.#codec.encode(message);
      this.#traffic.recordSent(frame.length);
      this.#socket.write(frame);
    }
  }

  close(): void {
    this.#socket.destroy();
  }

  /** Proves the shared key to the peer and checks the peer's proof; yields who the peer is. */
  async authenticate(
    messages: AsyncGenerator<PeerMessage, Failure | undefined, undefined>,
    own: NodeDirectory['own'],
    key: PeerKey,
  ): Promise<Result<Hello, Failure>> {
    const nonce = randomUUID();
    this.send({ type: 'hello', ...own, nonce });
    const hello = await messages.next();
    if (hello.done === true || hello.value.type !== 'hello') {
      return err(createFailure('PEER_REFUSED', 'the peer did not say hello'));
    }
    this.send({ type: 'proof', proof: key.createProof(hello.value.nonce, own.nodeId) });
    const proof = await messages.next();
    if (proof.done === true || proof.value.type !== 'proof') {
      return err(createFailure('PEER_REFUSED', 'the peer gave no proof'));
    }
    return key.verifyProof(proof.value.proof, nonce, hello.value.nodeId)
      ? ok(hello.value)
      : err(createFailure('PEER_REFUSED', `the proof of ${hello.value.nodeId} is wrong`));
  }

  /** The received messages; ends when the connection does, with a failure if a frame was wrong. */
  async *receive(): AsyncGenerator<PeerMessage, Failure | undefined, undefined> {
    try {
      for await (const bytes of this.#socket) {
        this.#traffic.recordReceived((bytes as Buffer).length);
        const messages = this.#codec.decode(bytes as Buffer);
        if (messages.isErr) {
          return messages.error;
        }
        yield* messages.value;
      }
    } catch {
      return undefined;
    } finally {
      this.#socket.destroy();
    }
    return undefined;
  }
}
