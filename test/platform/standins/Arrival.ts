/** A request that has reached a replica of a test. */
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
  /** Resolves when the caller of the replica has hung up. */
  readonly left: Promise<void>;
}

export default Arrival;
