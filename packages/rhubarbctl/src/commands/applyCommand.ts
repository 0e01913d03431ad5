/**
 * `rhubarbctl apply FILE`: applies a fleet file and prints the differences to the current fleet
 * document.
 */
import { readFile } from 'node:fs/promises';
import { defineCommand } from 'citty';
import AdminClient from '../client/AdminClient.js';
import type FleetResponse from '../client/FleetResponse.js';
import commonArgs from '../client/commonArgs.js';
import parseFleetIni from '../client/parseFleetIni.js';
import waitUntilInForce from '../client/waitUntilInForce.js';
import unwrapOrExit from '../output/unwrapOrExit.js';

const applyCommand = defineCommand({
  meta: {
    name: 'apply',
    description: 'apply a fleet file: rhubarbctl apply fleet.ini --wait',
  },
  args: {
    ...commonArgs,
    file: { type: 'positional', required: true, description: 'fleet file in INI format' },
    dryRun: {
      type: 'boolean',
      default: false,
      description: 'show what would change without applying it',
    },
    basedOn: {
      type: 'string',
      default: '',
      description: 'version that the file is based on; the current version if omitted',
    },
    wait: {
      type: 'boolean',
      default: false,
      description: 'wait until the new version is in force on every entry VM',
    },
  },
  async run({ args }) {
    const client = new AdminClient(args);
    const document = unwrapOrExit(parseFleetIni(await readFile(args.file, 'utf8')));
    const current = unwrapOrExit(await client.send<FleetResponse>('GET', '/v1/fleet'));
    const basedOn = args.basedOn === '' ? current.version : Number(args.basedOn);
    const response = unwrapOrExit(
      await client.send<FleetResponse>('PUT', '/v1/fleet', {
        basedOn,
        dryRun: args.dryRun,
        document,
      }),
    );
    response.differences?.forEach((line) => process.stdout.write(`${line}\n`));
    process.stdout.write(
      response.accepted === true
        ? `accepted as version ${response.version}\n`
        : 'no change was applied\n',
    );
    if (args.wait && response.accepted === true) {
      await waitUntilInForce(client, response.version);
    }
  },
});

export default applyCommand;
