/** How much of an engine is taken, by what can run out: its slots and the KV cache memory of running requests. */
interface EngineRoom {
  /** The shares that are taken, 1 being all; above 1 requests wait. */
  readonly slotShare: number;
  readonly memoryShare: number;
  /** What runs out first. */
  readonly boundBy: 'slots' | 'memory';
  /** The larger of the shares. */
  readonly takenShare: number;
}

export default EngineRoom;
