/** Options of the daemon's DemandRolePlanner. */
import type DemandRolePlanner from './DemandRolePlanner.js';

const ROLE_PLANNING: ConstructorParameters<typeof DemandRolePlanner>[0] = {
  prefillTokensPerS: 15_000,
  decodeTokensPerS: 4_500,
  mixedPrefillTokensPerS: 12_000,
  mixedDecodeTokensPerS: 4_800,
  maxMixedDecodeTokensPerS: 2_900,
  changeMs: 6_000,
  horizonMs: 60_000,
  minTimeInRoleMs: 60_000,
  changesPerHour: 120,
  triggerUtilization: 0.95,
  triggerBacklogMs: 250,
  triggerSlotUtilization: 0.75,
  minMixedEngines: 1,
};

export default ROLE_PLANNING;
