/** The rendezvous hashing key that orders the nodes of a failure domain as its leader, the same in all domains. */
const LEADER_HASH_KEY = 'store-reader';

export default LEADER_HASH_KEY;
