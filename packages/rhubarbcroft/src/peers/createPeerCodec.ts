/** Creates the codec of the frames between entry VMs. */
import type PeerMessage from '@rhubarbcroft/protocol/peers/PeerMessage';
import FRAME_STRUCTURES from './FRAME_STRUCTURES.js';
import FrameCodec from './FrameCodec.js';

const MESSAGE_TYPES: ReadonlySet<string> = new Set<PeerMessage['type']>([
  'hello',
  'proof',
  'heartbeat',
  'loads',
  'sends',
  'drains',
  'crashes',
  'crashCleared',
  'configurationRequest',
  'configuration',
]);

export default function createPeerCodec(maxFrameBytes: number): FrameCodec<PeerMessage> {
  return new FrameCodec({ maxFrameBytes, types: MESSAGE_TYPES, structures: FRAME_STRUCTURES });
}
