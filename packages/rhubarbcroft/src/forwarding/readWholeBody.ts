/** Reads an answer's body to its end. Throws when it breaks off or is over the limit. */
/** The largest answer that is held back until it is whole: half of what a caller may send on the users' platform. */
const MAX_HELD_BYTES = 2_097_152;

export default async function readWholeBody(body: AsyncIterable<Buffer>): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > MAX_HELD_BYTES) {
      throw new Error(`the answer is over ${MAX_HELD_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, bytes);
}
