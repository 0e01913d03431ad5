/** `rhubarbctl label ENDPOINT key=value key-`: sets and removes labels of an endpoint. */
import { defineCommand } from 'citty';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import AdminClient from '../client/AdminClient.js';
import type FleetResponse from '../client/FleetResponse.js';
import commonArgs from '../client/commonArgs.js';
import waitUntilInForce from '../client/waitUntilInForce.js';
import exitWithFailure from '../output/exitWithFailure.js';
import unwrapOrExit from '../output/unwrapOrExit.js';

type Labels = Readonly<Record<string, string>>;

function applyEdit(labels: Labels, edit: string): Labels {
  if (edit.endsWith('-')) {
    const { [edit.slice(0, -1)]: removed, ...rest } = labels;
    return removed === undefined ? labels : rest;
  }
  const [key, ...value] = edit.split('=');
  if (value.length === 0) {
    exitWithFailure(
      createFailure(
        'MALFORMED_BODY',
        `"${edit}": expected key=value to set a label or key- to remove it`,
      ),
    );
  }
  return { ...labels, [key]: value.join('=') };
}

const labelCommand = defineCommand({
  meta: {
    name: 'label',
    description: 'set or remove labels: rhubarbctl label engine-1 tier=a spare-',
  },
  args: {
    ...commonArgs,
    endpoint: { type: 'positional', required: true, description: 'id of the endpoint' },
    wait: {
      type: 'boolean',
      default: false,
      description: 'wait until the new version is in force on every entry VM',
    },
  },
  async run({ args }) {
    const client = new AdminClient(args);
    const edits = args._.slice(1);
    const { version, document } = unwrapOrExit(
      await client.send<FleetResponse>('GET', '/v1/fleet'),
    );
    if (!document.endpoints.some(({ id }) => id === args.endpoint)) {
      exitWithFailure(createFailure('NOT_FOUND', `endpoint "${args.endpoint}" is not declared`));
    }
    const endpoints = document.endpoints.map((endpoint) =>
      endpoint.id === args.endpoint
        ? { ...endpoint, labels: edits.reduce(applyEdit, endpoint.labels) }
        : endpoint,
    );
    const response = unwrapOrExit(
      await client.send<FleetResponse>('PUT', '/v1/fleet', {
        basedOn: version,
        document: { ...document, endpoints },
      }),
    );
    process.stdout.write(`accepted as version ${response.version}\n`);
    if (args.wait) {
      await waitUntilInForce(client, response.version);
    }
  },
});

export default labelCommand;
