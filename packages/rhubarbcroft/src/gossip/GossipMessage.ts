/** The gossip messages between forwarding nodes, one CBOR frame each. */
import type FeedPage from '../discovery/FeedPage.js';
import type Instance from '../instances/Instance.js';
import type GossipSnapshot from './GossipSnapshot.js';

type GossipMessage =
  | {
      /** Requests a snapshot, which is answered with `tell`. */
      readonly type: 'ask';
      /** The versions that the requester has; only newer content is sent. */
      readonly routingVersion: number;
      readonly instancesVersion: number;
      /** The address at which the requester itself accepts peers, as `host:port`. */
      readonly address: string;
    }
  | { readonly type: 'tell'; readonly knowledge: GossipSnapshot }
  /** Requests pulses several times a second, with the instances once the sender has at least this version. */
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
       * Prompts dispatched to engines since the last notices: instance id, rank, prefill time in ms, output
       * tokens, then alternately the id and the token count of each shared part.
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
    };

export default GossipMessage;
