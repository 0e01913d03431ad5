/** An engine of a group in which each engine either prefills or decodes, as its planning sees it. */
interface StagedEngine {
  readonly id: string;
  readonly domain: string;
  readonly stage: 'prefill' | 'decode';
}

export default StagedEngine;
