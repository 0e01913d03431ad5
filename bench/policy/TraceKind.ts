/** A kind of work in a trace: its rank, its settings by operators, and the latency targets of its callers. */
import type Rank from '@rhubarbcroft/protocol/ranks/Rank';

interface TraceKind {
  readonly name: string;
  readonly rank: Rank;
  readonly weight: number;
  readonly floor: number;
  readonly worth: number;
  /** Latency targets: time to first token and mean time between tokens. */
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
}

export default TraceKind;
