/**
 * Guards against idle connections starving requests: thousands of callers that connect and send nothing may
 * cost memory, but requests of other callers must still be answered completely.
 */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import requestCompletion from '@rhubarbcroft/standins/fleet/requestCompletion';
import createExpectedAnswer from '@rhubarbcroft/standins/fleet/createExpectedAnswer';

const LOCATION = { domain: 'litoral', region: 'litoral' };
const CONNECTION_COUNT = 10_000;
const OPENED_AT_ONCE = 200;

describe('idle connections', () => {
  let fleet: LocalFleet;

  let sockets: readonly Socket[] = [];

  before(async () => {
    fleet = await LocalFleet.start({
      nodes: [{ id: 'vm-1', ...LOCATION }],
      endpoints: [
        {
          id: 'engine-1',
          kind: 'engine',
          ...LOCATION,
          labels: { model: 'appraiser' },
          options: {},
        },
      ],
      document: { models: [{ name: 'appraiser', where: 'model=appraiser' }] },
    });
  });

  after(async () => {
    sockets.forEach((socket) => socket.destroy());
    await fleet.stop();
  });

  async function openSocket(): Promise<Socket> {
    const socket = connect(Number(new URL(fleet.nodes[0].callerUrl).port), '127.0.0.1');
    await once(socket, 'connect');
    return socket;
  }

  it('answers requests while ten thousand callers hold idle connections', async () => {
    while (sockets.length < CONNECTION_COUNT) {
      sockets = [
        ...sockets,
        ...(await Promise.all(Array.from({ length: OPENED_AT_ONCE }, openSocket))),
      ];
    }
    const prompts = ['a lookup', 'a reconciliation', 'an audit'];
    const answers = await Promise.all(
      prompts.map((prompt) =>
        requestCompletion({
          url: fleet.nodes[0].callerUrl,
          model: 'appraiser',
          prompt,
          maxTokens: 30,
        }),
      ),
    );
    const state = (await fleet.administer('GET', '/v1/state')) as {
      readonly tree: {
        readonly children: { readonly callers: { readonly temporary: number } };
      };
    };
    expect(answers.map(({ text }) => text)).to.deep.equal(
      prompts.map((prompt) => createExpectedAnswer(prompt, 30)),
    );
    expect(state.tree.children.callers.temporary).to.be.at.least(CONNECTION_COUNT);
  });
});
