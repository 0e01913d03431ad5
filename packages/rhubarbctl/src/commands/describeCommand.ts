/**
 * `rhubarbctl describe ENDPOINT`: shows the declaration of an endpoint and its state as seen by one
 * entry VM.
 */
import { defineCommand } from 'citty';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import AdminClient from '../client/AdminClient.js';
import type FleetResponse from '../client/FleetResponse.js';
import type StateResponse from '../client/StateResponse.js';
import commonArgs from '../client/commonArgs.js';
import exitWithFailure from '../output/exitWithFailure.js';
import unwrapOrExit from '../output/unwrapOrExit.js';

const describeCommand = defineCommand({
  meta: { name: 'describe', description: 'show one endpoint: rhubarbctl describe engine-1' },
  args: {
    ...commonArgs,
    endpoint: { type: 'positional', required: true, description: 'id of the endpoint' },
  },
  async run({ args }) {
    const client = new AdminClient(args);
    const { document } = unwrapOrExit(await client.send<FleetResponse>('GET', '/v1/fleet'));
    const declared = document.endpoints.find(({ id }) => id === args.endpoint);
    if (declared === undefined) {
      exitWithFailure(createFailure('NOT_FOUND', `endpoint "${args.endpoint}" is not declared`));
    }
    const state = unwrapOrExit(await client.send<StateResponse>('GET', '/v1/state'));
    const observed = state.tree.children.endpoints.find(({ id }) => id === args.endpoint);
    const changes = document.changes.filter(({ endpoint }) => endpoint === args.endpoint);
    process.stdout.write(`${JSON.stringify({ declared, seen: observed, changes }, null, 2)}\n`);
  },
});

export default describeCommand;
