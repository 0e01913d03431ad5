/** `rhubarbctl top`: shows endpoints and nodes as seen by one entry VM, once or at an interval. */
import { defineCommand } from 'citty';
import AdminClient from '../client/AdminClient.js';
import type StateResponse from '../client/StateResponse.js';
import commonArgs from '../client/commonArgs.js';
import formatTable from '../output/formatTable.js';
import unwrapOrExit from '../output/unwrapOrExit.js';

const BYTES_PER_MB = 1_048_576;

function formatTop(state: StateResponse): string {
  const { node, tree, memory, uptimeS, suspects, drains } = state;
  const header = [
    `${node.own.nodeId} in ${node.own.domain}, up ${uptimeS} s, ${Math.round(memory.rss / BYTES_PER_MB)} MB`,
    `connections ${tree.children.callers.temporary}, live in domain ${node.liveInDomain.join(' ')}, suspects ${suspects}, drains ${drains.length}`,
  ];
  const rows = tree.children.endpoints.map((endpoint) => ({
    endpoint: endpoint.id,
    role: endpoint.role,
    takes: endpoint.available ? 'yes' : 'no',
    leaving: endpoint.leaving ? 'yes' : 'no',
    running: `${endpoint.reportedRunning}/${endpoint.slots}`,
    own: endpoint.ownRequests,
    reportAgeMs: Math.round(endpoint.reportAgeMs),
  }));
  return `${header.join('\n')}\n\n${formatTable(rows)}`;
}

const topCommand = defineCommand({
  meta: {
    name: 'top',
    description: 'show the load of endpoints and nodes: rhubarbctl top --everyS 2',
  },
  args: {
    ...commonArgs,
    everyS: {
      type: 'string',
      default: '0',
      description: 'refresh interval in seconds; 0 prints once',
    },
  },
  async run({ args }) {
    const client = new AdminClient(args);
    const intervalMs = Number(args.everyS) * 1_000;
    let repeat = true;
    while (repeat) {
      process.stdout.write(
        formatTop(unwrapOrExit(await client.send<StateResponse>('GET', '/v1/state'))),
      );
      repeat = intervalMs > 0;
      await new Promise((resolve) => {
        setTimeout(resolve, intervalMs);
      });
    }
  },
});

export default topCommand;
