/** Creates the codec of the gossip frames between forwarding nodes. */
import FrameCodec from '../peers/FrameCodec.js';
import type GossipMessage from './GossipMessage.js';

/** Large enough for a routing document with thousands of routes. */
const MAX_FRAME_BYTES = 8_388_608;
const MESSAGE_TYPES: ReadonlySet<string> = new Set<GossipMessage['type']>([
  'ask',
  'tell',
  'follow',
  'pulse',
  'notices',
  'tally',
  'tallied',
]);

export default function createGossipCodec(): FrameCodec<GossipMessage> {
  return new FrameCodec({ maxFrameBytes: MAX_FRAME_BYTES, types: MESSAGE_TYPES, structures: [] });
}
