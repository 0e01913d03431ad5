/** `rhubarbctl audit`: shows who changed the fleet document, and when. */
import { defineCommand } from 'citty';
import AdminClient from '../client/AdminClient.js';
import commonArgs from '../client/commonArgs.js';
import printRows from '../output/printRows.js';
import unwrapOrExit from '../output/unwrapOrExit.js';

const auditCommand = defineCommand({
  meta: { name: 'audit', description: 'show who changed the fleet document: rhubarbctl audit' },
  args: commonArgs,
  async run({ args }) {
    const rows = unwrapOrExit(
      await new AdminClient(args).send<readonly Readonly<Record<string, unknown>>[]>(
        'GET',
        '/v1/audit',
      ),
    );
    printRows(rows, args.output);
  },
});

export default auditCommand;
