/** Requests a snapshot from one peer on a connection of its own; undefined when the peer does not answer in time. */
import { connect } from 'node:net';
import type GossipMessage from './GossipMessage.js';
import type GossipSnapshot from './GossipSnapshot.js';
import createGossipCodec from './createGossipCodec.js';

export default async function requestSnapshot(
  address: string,
  request: GossipMessage,
  timeoutMs: number,
): Promise<GossipSnapshot | undefined> {
  const codec = createGossipCodec();
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
