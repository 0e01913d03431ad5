/** The properties that PrefillSharePlanner needs of an engine in a group without mixed engines. */
interface StagedEngine {
  readonly id: string;
  readonly domain: string;
  readonly stage: 'prefill' | 'decode';
}

export default StagedEngine;
