/**
 * The properties of a request that admission and routing decide by: sizes, rank, kind and deadline,
 * independent of the protocol it arrived over. Times are on the node's monotonic clock.
 */
import type Rank from '@rhubarbcroft/protocol/ranks/Rank';

interface Work {
  readonly requestId: string;
  readonly kind: string;
  readonly rank: Rank;
  readonly promptTokens: number;
  /** The expected length of the answer, in tokens. */
  readonly outputTokens: number;
  /** Keys of the cumulative prefixes of the prompt, one for each full cache block, shortest first. */
  readonly prefixKeys: readonly string[];
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

export default Work;
