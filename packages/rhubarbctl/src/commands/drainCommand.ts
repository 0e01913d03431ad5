/**
 * `rhubarbctl drain ENDPOINT`: stops new requests to an endpoint at once, even while the platform
 * is down.
 */
import { defineCommand } from 'citty';
import AdminClient from '../client/AdminClient.js';
import type StateResponse from '../client/StateResponse.js';
import commonArgs from '../client/commonArgs.js';
import unwrapOrExit from '../output/unwrapOrExit.js';

const POLL_MS = 500;

const drainCommand = defineCommand({
  meta: {
    name: 'drain',
    description: 'stop new requests to an endpoint: rhubarbctl drain engine-1 --wait',
  },
  args: {
    ...commonArgs,
    endpoint: { type: 'positional', required: true, description: 'id of the endpoint' },
    durationS: {
      type: 'string',
      default: '3600',
      description: 'duration of the drain in seconds',
    },
    wait: {
      type: 'boolean',
      default: false,
      description: 'wait until the endpoint has no running requests',
    },
  },
  async run({ args }) {
    const client = new AdminClient(args);
    const durationMs = Number(args.durationS) * 1_000;
    unwrapOrExit(await client.send('POST', '/v1/drains', { endpoint: args.endpoint, durationMs }));
    process.stdout.write(`${args.endpoint} receives no new requests\n`);
    let running = args.wait ? Infinity : 0;
    while (running > 0) {
      const state = unwrapOrExit(await client.send<StateResponse>('GET', '/v1/state'));
      running =
        state.tree.children.endpoints.find(({ id }) => id === args.endpoint)?.reportedRunning ?? 0;
      process.stderr.write(`${running} requests still run at ${args.endpoint}\n`);
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_MS);
      });
    }
  },
});

export default drainCommand;
