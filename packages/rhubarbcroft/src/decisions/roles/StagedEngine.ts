/** The properties that PrefillSharePlanner needs of an engine in a group without mixed engines. */
interface StagedEngine {
  readonly id: string;
  readonly domain: string;
  readonly stage: 'prefill' | 'decode';
  /** Whether the platform may reclaim it at short notice. */
  readonly isSpot?: boolean;
}

export default StagedEngine;
