/** Asks one peer what it knows, over a connection of its own; undefined when it does not answer in time. */
import { connect } from 'node:net';
import type KnowledgeMessage from './KnowledgeMessage.js';
import type Knowledge from './Knowledge.js';
import createKnowledgeCodec from './createKnowledgeCodec.js';

export default async function askPeer(
  address: string,
  question: KnowledgeMessage,
  timeoutMs: number,
): Promise<Knowledge | undefined> {
  const codec = createKnowledgeCodec();
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port), noDelay: true });
  const timer = setTimeout(() => socket.destroy(), timeoutMs);
  socket.write(codec.encode(question));
  try {
    for await (const bytes of socket) {
      const messages = codec.decode(bytes as Buffer);
      if (messages.isErr) {
        return undefined;
      }
      const told = messages.value.find((message) => message.type === 'tell');
      if (told !== undefined) {
        return told.knowledge;
      }
    }
    return undefined;
  } catch {
    // A peer that is down or cut off is expected here: the asker goes on to the next.
    return undefined;
  } finally {
    clearTimeout(timer);
    socket.destroy();
  }
}
