/**
 * The state of an endpoint that decisions are based on: its rates, its last load report, and the dispatches
 * that the report does not include yet. Fields named `unseen…` count the unreported load: what this node and
 * its peers have dispatched since the report was taken.
 */
import type EngineRole from '@rhubarbcroft/protocol/fleet/EngineRole';

interface EndpointView {
  readonly id: string;
  readonly domain: string;
  readonly region: string;
  readonly role: EngineRole;
  /** How many requests the endpoint can run at the same time. */
  readonly slots: number;
  readonly prefillTokensPerS: number;
  readonly decodeTokensPerS: number;
  readonly reportedRunning: number;
  /** Prompt tokens that are not prefilled yet, by rank, the most urgent rank first. */
  readonly reportedPromptTokens: readonly number[];
  readonly reportedOutputTokens: number;
  readonly reportAgeMs: number;
  readonly unseenRequests: number;
  /** Unreported prompt tokens, by rank, the most urgent rank first. */
  readonly unseenPromptTokens: readonly number[];
  /** Requests of this node that are in flight at the endpoint. */
  readonly ownRequests: number;
  /** The share of its normal load that an endpoint gets while it warms up after an ejection or a start, 0 to 1. */
  readonly rampFraction: number;
  /** Whether the endpoint accepts new requests. */
  readonly available: boolean;
  /** How many other nodes of the domain have precedence over this one while the endpoint is busy. */
  readonly nodesAhead: number;
}

export default EndpointView;
