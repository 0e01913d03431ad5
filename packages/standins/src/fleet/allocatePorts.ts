/**
 * Finds free ports on loopback. They lie below the ephemeral range, from which the system takes ports for
 * outgoing connections, so that no such connection takes a port before the daemon binds it.
 */
import { once } from 'node:events';
import { createServer } from 'node:net';

const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;

/** Starts at random, so that fleets of different processes rarely try the same ports. */
let portOffset = Math.floor(Math.random() * PORT_COUNT);

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    server.listen(port, '127.0.0.1');
    await once(server, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
}

export default async function allocatePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    portOffset = (portOffset + 1) % PORT_COUNT;
    if (await isFree(FIRST_PORT + portOffset)) {
      ports.push(FIRST_PORT + portOffset);
    }
  }
  return ports;
}
