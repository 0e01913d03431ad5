/**
 * The messages that entry VMs send to one another, each encoded as one CBOR frame. The clocks of two
 * VMs are never compared, so every time is an age or a duration, never a timestamp.
 */
import type FleetVersion from '../fleet/FleetVersion.js';
import type LoadReport from '../fleet/LoadReport.js';

type PeerMessage =
  | {
      readonly type: 'hello';
      readonly nodeId: string;
      readonly incarnation: string;
      readonly domain: string;
      readonly nonce: string;
    }
  | { readonly type: 'proof'; readonly proof: string }
  | {
      readonly type: 'heartbeat';
      readonly nodeId: string;
      readonly incarnation: string;
      readonly domain: string;
      readonly configurationVersion: number;
      readonly leaving: boolean;
      readonly isReply?: boolean;
      /** Demand that reaches this node, in tokens per second, by model. */
      readonly demand: readonly {
        readonly model: string;
        readonly promptTokensPerS: number;
        readonly outputTokensPerS: number;
      }[];
    }
  | {
      readonly type: 'sends';
      readonly sends: readonly {
        readonly endpointId: string;
        readonly rank: number;
        readonly promptTokens: number;
        readonly ageMs: number;
      }[];
    }
  | { readonly type: 'loads'; readonly reports: readonly LoadReport[] }
  | {
      readonly type: 'drains';
      readonly drains: readonly {
        readonly endpointId: string;
        readonly remainingMs: number;
        readonly handoverAfterMs: number;
      }[];
    }
  | {
      readonly type: 'crashes';
      readonly crashes: readonly {
        readonly fingerprint: string;
        readonly endpointId: string;
        readonly bootId: string;
        readonly alone: boolean;
        readonly ageMs: number;
      }[];
    }
  | { readonly type: 'crashCleared'; readonly fingerprint: string }
  | { readonly type: 'configurationRequest'; readonly knownVersion: number }
  | { readonly type: 'configuration'; readonly fleet: FleetVersion };

export default PeerMessage;
