/** The attributes of a request that come from its headers and the placement rules. Times are on the node's clock. */
import type Rank from '@rhubarbcroft/protocol/ranks/Rank';

interface RequestAttributes {
  readonly kind: string;
  readonly rank: Rank;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /** The selector of the placement rule that applies; empty when there is none. */
  readonly where: string;
  /** The region that the placement rule names, if any. */
  readonly region: string | undefined;
}

export default RequestAttributes;
