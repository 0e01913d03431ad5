/** Requests a snapshot from one peer on a connection of its own; undefined when the peer does not answer in time. */
import { connect } from 'node:net';
import type KnowledgeMessage from './KnowledgeMessage.js';
import type Knowledge from './Knowledge.js';
import createKnowledgeCodec from './createKnowledgeCodec.js';

export default async function askPeer(
  address: string,
  request: KnowledgeMessage,
  timeoutMs: number,
): Promise<Knowledge | undefined> {
  const codec = createKnowledgeCodec();
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port), noDelay: true });
  const timer = setTimeout(() => socket.destroy(), timeoutMs);
  socket.write(codec.encode(request));
  try {
    for await (const bytes of socket) {
      const messages = codec.decode(bytes as Buffer);
      if (messages.isErr) {
        return undefined;
      }
      const answer = messages.value.find((message) => message.type === 'tell');
      if (answer !== undefined) {
        return answer.knowledge;
      }
    }
    return undefined;
  } catch {
    // Peers that are down or cut off are expected here; the caller polls the next one.
    return undefined;
  } finally {
    clearTimeout(timer);
    socket.destroy();
  }
}
