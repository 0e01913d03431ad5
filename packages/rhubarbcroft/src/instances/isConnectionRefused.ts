/**
 * Whether nothing listens at an address any more: a new connection is refused. A connection that is accepted, reset
 * or not answered in time proves nothing about the process behind it.
 */
import { connect } from 'node:net';

export default async function isConnectionRefused(
  address: string,
  timeoutMs: number,
): Promise<boolean> {
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  const timer = setTimeout(() => socket.destroy(), timeoutMs);
  return new Promise((resolve) => {
    socket.once('connect', () => socket.destroy());
    socket.once('error', ({ code }: NodeJS.ErrnoException) => resolve(code === 'ECONNREFUSED'));
    socket.once('close', () => {
      clearTimeout(timer);
      resolve(false);
    });
  });
}
