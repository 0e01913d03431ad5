/**
 * `rhubarbctl describe ENDPOINT`: shows the declaration of an endpoint and its state as seen by one
 * entry VM.
 */
import { defineCommand } from 'citty';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import AdminClient from '../client/AdminClient.js';
import type FleetAnswer from '../client/FleetAnswer.js';
import type StateAnswer from '../client/StateAnswer.js';
import commonArgs from '../client/commonArgs.js';
import exitWith from '../output/exitWith.js';
import unwrap from '../output/unwrap.js';

const describeCommand = defineCommand({
  meta: { name: 'describe', description: 'show one endpoint: rhubarbctl describe engine-1' },
  args: {
    ...commonArgs,
    endpoint: { type: 'positional', required: true, description: 'id of the endpoint' },
  },
  async run({ args }) {
    const client = new AdminClient(args);
    const { document } = unwrap(await client.send<FleetAnswer>('GET', '/v1/fleet'));
    const declared = document.endpoints.find(({ id }) => id === args.endpoint);
    if (declared === undefined) {
      exitWith(createFailure('NOT_FOUND', `endpoint "${args.endpoint}" is not declared`));
    }
    const state = unwrap(await client.send<StateAnswer>('GET', '/v1/state'));
    const observed = state.tree.children.endpoints.find(({ id }) => id === args.endpoint);
    const changes = document.changes.filter(({ endpoint }) => endpoint === args.endpoint);
    process.stdout.write(`${JSON.stringify({ declared, seen: observed, changes }, null, 2)}\n`);
  },
});

export default describeCommand;
