/**
 * Waits until a version is in force on every entry VM with a recent heartbeat; prints a progress
 * line per poll.
 */
import type AdminClient from './AdminClient.js';
import unwrapOrExit from '../output/unwrapOrExit.js';

interface VersionsResponse {
  readonly nodes: readonly {
    readonly nodeId: string;
    readonly version: number;
    readonly ageMs: number;
  }[];
}

const POLL_MS = 250;
const STALE_MS = 10_000;

export default async function waitUntilInForce(
  client: AdminClient,
  version: number,
): Promise<void> {
  while (true) {
    const { nodes } = unwrapOrExit(await client.send<VersionsResponse>('GET', '/v1/versions'));
    const reporting = nodes.filter((node) => node.ageMs < STALE_MS);
    const behind = reporting.filter((node) => node.version < version);
    process.stderr.write(
      `version ${version} in force on ${reporting.length - behind.length} of ${reporting.length} entry VMs\n`,
    );
    if (behind.length === 0) {
      return;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
}
