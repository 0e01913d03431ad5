/** The frames of the exchange between forwarding nodes. */
import FrameCodec from '../peers/FrameCodec.js';
import type KnowledgeMessage from './KnowledgeMessage.js';

/** Room for a routing document of thousands of routes. */
const MAX_FRAME_BYTES = 8_388_608;
const TYPES: ReadonlySet<string> = new Set<KnowledgeMessage['type']>([
  'ask',
  'tell',
  'follow',
  'pulse',
  'notices',
]);

export default function createKnowledgeCodec(): FrameCodec<KnowledgeMessage> {
  return new FrameCodec({ maxFrameBytes: MAX_FRAME_BYTES, types: TYPES, structures: [] });
}
