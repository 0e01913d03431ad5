/** The messages of the exchange between forwarding nodes, a CBOR frame each. */
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
  | { readonly type: 'tell'; readonly knowledge: Knowledge };

export default KnowledgeMessage;
