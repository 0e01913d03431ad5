/** Determines what runs out first at an engine, for admission, placement and scaling alike. */
import type EngineRoom from './EngineRoom.js';

export default function resolveEngineRoom(
  running: number,
  slots: number,
  memoryShare: number,
): EngineRoom {
  const slotShare = running / Math.max(1, slots);
  const boundBy = memoryShare > slotShare ? 'memory' : 'slots';
  return { slotShare, memoryShare, boundBy, takenShare: Math.max(slotShare, memoryShare) };
}
