/** `rhubarbctl state`: prints the state dump of one entry VM as JSON. */
import { defineCommand } from 'citty';
import AdminClient from '../client/AdminClient.js';
import commonArgs from '../client/commonArgs.js';
import unwrapOrExit from '../output/unwrapOrExit.js';

const stateCommand = defineCommand({
  meta: {
    name: 'state',
    description:
      'dump the state of one entry VM as JSON: rhubarbctl state --url http://10.0.0.1:8081',
  },
  args: commonArgs,
  async run({ args }) {
    const state = unwrapOrExit(await new AdminClient(args).send<unknown>('GET', '/v1/state'));
    process.stdout.write(`${JSON.stringify(state, null, 2)}\n`);
  },
});

export default stateCommand;
