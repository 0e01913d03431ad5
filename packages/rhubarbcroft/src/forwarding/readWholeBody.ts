/** Reads an answer's body to its end. Throws when the body is truncated, larger than the limit or not to be held. */

/** Size limit of a buffered answer: half of what a caller may send on the users' platform. */
const MAX_BUFFERED_BYTES = 2_097_152;
const FIRST_BYTES = 4_096;

/** @param reserve - Makes room for bytes; throws when there is none. */
export default async function readWholeBody(
  body: AsyncIterable<Buffer>,
  reserve: (bytes: number) => void = () => undefined,
): Promise<Buffer> {
  let buffer = Buffer.alloc(0);
  let bytes = 0;
  for await (const chunk of body) {
    const needed = bytes + chunk.length;
    if (needed > MAX_BUFFERED_BYTES) {
      throw new Error(`the answer is larger than ${MAX_BUFFERED_BYTES} bytes`);
    }
    if (needed > buffer.length) {
      const capacity = Math.max(
        needed,
        FIRST_BYTES,
        Math.min(MAX_BUFFERED_BYTES, 2 * buffer.length),
      );
      reserve(capacity - buffer.length);
      const grown = Buffer.allocUnsafe(capacity);
      buffer.copy(grown, 0, 0, bytes);
      buffer = grown;
    }
    chunk.copy(buffer, bytes);
    bytes = needed;
  }
  return buffer.subarray(0, bytes);
}
