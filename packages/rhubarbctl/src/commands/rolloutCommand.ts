/** `rhubarbctl rollout`: shows the declared changes and the progress of each. */
import { defineCommand } from 'citty';
import AdminClient from '../client/AdminClient.js';
import commonArgs from '../client/commonArgs.js';
import printRows from '../output/printRows.js';
import unwrapOrExit from '../output/unwrapOrExit.js';

interface ChangesResponse {
  readonly changes: readonly Readonly<Record<string, unknown>>[];
}

const rolloutCommand = defineCommand({
  meta: {
    name: 'rollout',
    description: 'show the progress of declared changes: rhubarbctl rollout',
  },
  args: commonArgs,
  async run({ args }) {
    const response = unwrapOrExit(
      await new AdminClient(args).send<ChangesResponse>('GET', '/v1/changes'),
    );
    printRows(response.changes, args.output);
  },
});

export default rolloutCommand;
