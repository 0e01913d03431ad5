/** Reads an answer's body to its end. Throws when the body is truncated or larger than the limit. */

/** Size limit of a buffered answer: half of what a caller may send on the users' platform. */
const MAX_BUFFERED_BYTES = 2_097_152;

export default async function readWholeBody(body: AsyncIterable<Buffer>): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > MAX_BUFFERED_BYTES) {
      throw new Error(`the answer is larger than ${MAX_BUFFERED_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, bytes);
}
