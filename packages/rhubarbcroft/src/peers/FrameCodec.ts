/**
 * Length-prefixed CBOR frames over a byte stream.
 *
 * A frame is a 4-byte big-endian length followed by that many bytes of CBOR. A frame over the limit, or one that
 * is not a known CBOR message, is a failure after which the connection must be closed.
 */
import { Decoder, Encoder } from 'cbor-x';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';

const LENGTH_BYTES = 4;

interface FrameCodecOptions {
  readonly maxFrameBytes: number;
  /** The values of `type` that a received message may have. */
  readonly types: ReadonlySet<string>;
  /** The field names of frequent messages, the same on both sides, so that frames carry the values only. */
  readonly structures: readonly (readonly string[])[];
}

function createCodecOptions(
  structures: FrameCodecOptions['structures'],
): ConstructorParameters<typeof Encoder>[0] {
  return {
    useRecords: structures.length > 0,
    mapsAsObjects: true,
    structures: structures.map((names) => [...names]),
    maxSharedStructures: structures.length,
  };
}

export default class FrameCodec<Message extends { readonly type: string }> {
  readonly #options: FrameCodecOptions;

  readonly #encoder: Encoder;

  readonly #decoder: Decoder;

  #buffered: Buffer = Buffer.alloc(0);

  constructor(options: FrameCodecOptions) {
    this.#options = options;
    this.#encoder = new Encoder(createCodecOptions(options.structures));
    this.#decoder = new Decoder(createCodecOptions(options.structures));
  }

  encode(message: Message): Buffer {
    const body = this.#encoder.encode(message);
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, LENGTH_BYTES);
    return frame;
  }

  /** Buffers received bytes and returns the messages that they complete, or a `FRAME_…` failure. */
  decode(bytes: Buffer): Result<readonly Message[], Failure> {
    this.#buffered = this.#buffered.length === 0 ? bytes : Buffer.concat([this.#buffered, bytes]);
    const messages: Message[] = [];
    while (this.#buffered.length >= LENGTH_BYTES) {
      const length = this.#buffered.readUInt32BE(0);
      if (length > this.#options.maxFrameBytes) {
        return err(
          createFailure(
            'FRAME_TOO_LARGE',
            `the frame has ${length} bytes; at most ${this.#options.maxFrameBytes} are allowed`,
          ),
        );
      }
      if (this.#buffered.length < LENGTH_BYTES + length) {
        return ok(messages);
      }
      const message = this.#decodeBody(
        this.#buffered.subarray(LENGTH_BYTES, LENGTH_BYTES + length),
      );
      if (message.isErr) {
        return err(message.error);
      }
      messages.push(message.value);
      this.#buffered = this.#buffered.subarray(LENGTH_BYTES + length);
    }
    return ok(messages);
  }

  #decodeBody(body: Buffer): Result<Message, Failure> {
    try {
      const message = this.#decoder.decode(body) as Message | null;
      if (
        message !== null &&
        typeof message === 'object' &&
        this.#options.types.has(message.type)
      ) {
        return ok(message);
      }
      return err(createFailure('FRAME_MALFORMED', 'the frame does not contain a known message'));
    } catch (error) {
      return err(createFailure('FRAME_MALFORMED', (error as Error).message));
    }
  }
}
