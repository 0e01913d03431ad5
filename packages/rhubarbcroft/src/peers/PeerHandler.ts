/** Handles the messages of peers for the rest of the daemon, so that the connections need not interpret them. */
import type PeerMessage from '@rhubarbcroft/protocol/peers/PeerMessage';

type Reply = (message: PeerMessage) => void;

abstract class PeerHandler {
  /** Handles one message; `reply` sends an answer on the same connection. */
  abstract handle(message: PeerMessage, reply: Reply): void;

  /** The messages that this node sends first on a connection that it has opened. */
  abstract createInitialMessages(): readonly PeerMessage[];
}

export default PeerHandler;
