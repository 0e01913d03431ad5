/** The messages of the exchange between forwarding nodes, a CBOR frame each. */
import type FeedPage from '../discovery/FeedPage.js';
import type Instance from '../instances/Instance.js';
import type Knowledge from './Knowledge.js';

type KnowledgeMessage =
  | {
      readonly type: 'ask';
      /** The versions that the asker has; only newer ones are told. */
      readonly routingVersion: number;
      readonly instancesVersion: number;
      /** Where the asker can be asked itself. */
      readonly address: string;
    }
  | { readonly type: 'tell'; readonly knowledge: Knowledge }
  /** Asks for a pulse at each change and several times a second, and for instances newer than these. */
  | { readonly type: 'follow'; readonly instancesVersion: number }
  | {
      readonly type: 'pulse';
      readonly routingVersion: number;
      /** All instances, when they have changed. */
      readonly instances: FeedPage<Instance> | undefined;
      /** Whether the teller hears from the store. */
      readonly isCurrent: boolean;
    }
  | {
      readonly type: 'notices';
      /**
       * Prompts sent to engines since the last notices: instance, rank, prefill in ms, output tokens, ids and
       * tokens of shared parts in turn.
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

export default KnowledgeMessage;
