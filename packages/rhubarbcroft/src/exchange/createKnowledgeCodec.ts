/** Creates the codec of the gossip frames between forwarding nodes. */
import FrameCodec from '../peers/FrameCodec.js';
import type KnowledgeMessage from './KnowledgeMessage.js';

/** Large enough for a routing document with thousands of routes. */
const MAX_FRAME_BYTES = 8_388_608;
const MESSAGE_TYPES: ReadonlySet<string> = new Set<KnowledgeMessage['type']>([
  'ask',
  'tell',
  'follow',
  'pulse',
  'notices',
]);

export default function createKnowledgeCodec(): FrameCodec<KnowledgeMessage> {
  return new FrameCodec({ maxFrameBytes: MAX_FRAME_BYTES, types: MESSAGE_TYPES, structures: [] });
}
