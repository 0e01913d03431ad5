/** Whether a value is an IPv4 address and a port to which a connection can be made, as `IP:PORT`. */
import { isIPv4 } from 'node:net';

const ADDRESS = /^([\d.]+):(\d{1,5})$/;
const MAX_PORT = 65_535;

export default function isAddress(value: unknown): value is string {
  const [, host, port] = (typeof value === 'string' ? ADDRESS.exec(value) : null) ?? [];
  return host !== undefined && isIPv4(host) && Number(port) > 0 && Number(port) <= MAX_PORT;
}
