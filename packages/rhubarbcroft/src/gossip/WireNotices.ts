/** The notices of one batch, as they are encoded for the peers. */
import type GossipMessage from './GossipMessage.js';

type WireNotices = Extract<GossipMessage, { readonly type: 'notices' }>;

export default WireNotices;
