/** A request that a stand-in for a replica has received. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface Arrival {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
  readonly response: ServerResponse;
  readonly socket: Socket;
  /** Resolves when the response has been closed: sent completely, or the client has disconnected. */
  readonly left: Promise<void>;
}

export default Arrival;
