/** `rhubarbctl diff FILE`: shows what a fleet file would change without applying it. */
import { readFile } from 'node:fs/promises';
import { defineCommand } from 'citty';
import AdminClient from '../client/AdminClient.js';
import type FleetResponse from '../client/FleetResponse.js';
import commonArgs from '../client/commonArgs.js';
import parseFleetIni from '../client/parseFleetIni.js';
import unwrapOrExit from '../output/unwrapOrExit.js';

const diffCommand = defineCommand({
  meta: {
    name: 'diff',
    description: 'show what a fleet file would change: rhubarbctl diff fleet.ini',
  },
  args: {
    ...commonArgs,
    file: { type: 'positional', required: true, description: 'fleet file in INI format' },
  },
  async run({ args }) {
    const client = new AdminClient(args);
    const document = unwrapOrExit(parseFleetIni(await readFile(args.file, 'utf8')));
    const { version } = unwrapOrExit(await client.send<FleetResponse>('GET', '/v1/fleet'));
    const response = unwrapOrExit(
      await client.send<FleetResponse>('PUT', '/v1/fleet', {
        basedOn: version,
        dryRun: true,
        document,
      }),
    );
    const lines = response.differences ?? [];
    process.stdout.write(lines.length === 0 ? 'no difference\n' : `${lines.join('\n')}\n`);
  },
});

export default diffCommand;
