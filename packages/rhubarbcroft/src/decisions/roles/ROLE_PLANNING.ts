/** Options of the daemon's DemandRolePlanner. */
import type DemandRolePlanner from './DemandRolePlanner.js';

const ROLE_PLANNING: ConstructorParameters<typeof DemandRolePlanner>[0] = {
  prefillTokensPerS: 15_000,
  decodeTokensPerS: 4_500,
  mixedPrefillTokensPerS: 12_000,
  mixedDecodeTokensPerS: 4_800,
  mixedDecodeLimitTokensPerS: 2_900,
  changeMs: 6_000,
  horizonMs: 60_000,
  leastInRoleMs: 60_000,
  changesPerHour: 120,
  pressingUse: 0.95,
  pressingBacklogMs: 250,
  pressingSlotUse: 0.75,
  leastMixed: 1,
};

export default ROLE_PLANNING;
