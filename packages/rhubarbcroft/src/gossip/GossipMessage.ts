/** The gossip messages between forwarding nodes, one CBOR frame each. */
import type FeedPage from '../discovery/FeedPage.js';
import type TallyReply from '../duties/TallyReply.js';
import type WireTally from '../duties/WireTally.js';
import type Instance from '../instances/Instance.js';
import type GossipSnapshot from './GossipSnapshot.js';
import type WireEvidence from './WireEvidence.js';
import type WirePace from './WirePace.js';

type GossipMessage =
  | {
      /**
       * Requests a snapshot. The reply carries it in its field `knowledge`; the routing document and the
       * instances are each left out unless they are newer than the version given here.
       */
      readonly type: 'ask';
      /** The versions that the requester has. */
      readonly routingVersion: number;
      readonly instancesVersion: number;
      /** The address at which the requester itself accepts peers, as `host:port`. */
      readonly address: string;
    }
  | { readonly type: 'tell'; readonly knowledge: GossipSnapshot }
  /**
   * Requests pulses several times a second. They include no instances until the version of the node that sends
   * them is at least `instancesVersion`, the version of the follower.
   */
  | { readonly type: 'follow'; readonly instancesVersion: number }
  | {
      readonly type: 'pulse';
      readonly routingVersion: number;
      /** All instances; undefined when they have not changed since the last pulse that carried them. */
      readonly instances: FeedPage<Instance> | undefined;
      /** Whether the sender receives the store's changes. */
      readonly isCurrent: boolean;
    }
  | {
      readonly type: 'notices';
      /**
       * Who is to receive the notices after the node that they are sent to: all nodes of the fleet, or those of its failure
       * domain; undefined for nobody.
       */
      readonly scope?: 'fleet' | 'domain' | undefined;
      /**
       * Prompts dispatched to engines since the last notices: instance id, rank, prefill time in ms, output
       * tokens, then alternately the id and the token count of each shared part; last the tokens of the prompt alone,
       * absent in notices of nodes that run an older version.
       */
      readonly sends: readonly (readonly [
        string,
        number,
        number,
        number,
        ...(string | number)[],
      ])[];
      /** Instances that could not be reached since the last notices. */
      readonly unreachable: readonly string[];
      /** Samples of endpoints' paces: instance id, index of the measure, hundredths. Absent if there are none. */
      readonly paces?: readonly WirePace[] | undefined;
      /** Absent in notices of nodes that run an older version. */
      readonly evidence?: WireEvidence | undefined;
    }
  /** Confirms notices that were received for a failure domain since the last confirmation. */
  | { readonly type: 'received' }
  /** What the sender has counted, for the holder of the duties; the reply names the holder. */
  | ({ readonly type: 'tally' } & WireTally)
  | ({ readonly type: 'tallied' } & TallyReply);

export default GossipMessage;
