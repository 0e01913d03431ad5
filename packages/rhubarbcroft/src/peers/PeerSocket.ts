/**
 * One TCP connection to a peer: sends frames, yields the received messages as an async sequence, and
 * authenticates both sides by the shared key when the connection opens.
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

/** A peer with more unread bytes than this is disconnected. */
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

  /** Sends a message; a peer that does not read is disconnected, so that unsent frames do not fill the memory. */
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

  /** Proves the shared key to the peer and verifies the peer's proof. Returns the peer's hello, or `PEER_REFUSED`. */
  async authenticate(
    messages: AsyncGenerator<PeerMessage, Failure | undefined, undefined>,
    own: NodeDirectory['own'],
    key: PeerKey,
  ): Promise<Result<Hello, Failure>> {
    const nonce = randomUUID();
    this.send({ type: 'hello', ...own, nonce });
    const hello = await messages.next();
    if (hello.done === true || hello.value.type !== 'hello') {
      return err(createFailure('PEER_REFUSED', 'the peer sent no hello message'));
    }
    this.send({ type: 'proof', proof: key.createProof(hello.value.nonce, own.nodeId) });
    const proof = await messages.next();
    if (proof.done === true || proof.value.type !== 'proof') {
      return err(createFailure('PEER_REFUSED', 'the peer sent no proof after its hello message'));
    }
    return key.verifyProof(proof.value.proof, nonce, hello.value.nodeId)
      ? ok(hello.value)
      : err(
          createFailure(
            'PEER_REFUSED',
            `the proof of ${hello.value.nodeId} is wrong: it was made with none of the keys of this node`,
          ),
        );
  }

  /** Yields the received messages until the connection ends; returns a failure if a frame was invalid. */
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
