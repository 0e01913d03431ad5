/** The target time to first token of each rank, in milliseconds. */
import type Rank from '@rhubarbcroft/protocol/ranks/Rank';

const FIRST_TOKEN_TARGET_MS: Readonly<Record<Rank, number>> = {
  urgent: 320,
  standard: 1_500,
  patient: 15_000,
};

export default FIRST_TOKEN_TARGET_MS;
