/**
 * `rhubarbctl get WHAT`: shows one list of the fleet document, with paging; token hashes are shown
 * as a count only.
 */
import { defineCommand } from 'citty';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import AdminClient from '../client/AdminClient.js';
import type FleetResponse from '../client/FleetResponse.js';
import commonArgs from '../client/commonArgs.js';
import exitWithFailure from '../output/exitWithFailure.js';
import printRows from '../output/printRows.js';
import unwrapOrExit from '../output/unwrapOrExit.js';

const getCommand = defineCommand({
  meta: {
    name: 'get',
    description:
      'list endpoints, models, services, rules, kinds, accounts or changes: rhubarbctl get endpoints',
  },
  args: {
    ...commonArgs,
    what: { type: 'positional', required: true, description: 'list to show' },
    limit: { type: 'string', default: '200', description: 'maximum number of items' },
    after: {
      type: 'string',
      default: '',
      description: 'id or name of the item after which the page starts',
    },
  },
  async run({ args }) {
    const client = new AdminClient(args);
    const { document } = unwrapOrExit(await client.send<FleetResponse>('GET', '/v1/fleet'));
    const items = (
      document as Readonly<Record<string, readonly Readonly<Record<string, unknown>>[]>>
    )[args.what];
    if (items === undefined) {
      exitWithFailure(
        createFailure(
          'NOT_FOUND',
          `"${args.what}" is not one of ${Object.keys(document).join(', ')}`,
        ),
      );
    }
    const start =
      args.after === '' ? 0 : items.findIndex((item) => (item.id ?? item.name) === args.after) + 1;
    const page = items.slice(start, start + Number(args.limit));
    printRows(
      page.map(({ tokenHashes, ...item }) =>
        tokenHashes === undefined
          ? item
          : { ...item, tokens: (tokenHashes as readonly string[]).length },
      ),
      args.output,
    );
  },
});

export default getCommand;
