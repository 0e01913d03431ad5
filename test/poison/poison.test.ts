/** A request that crashes every engine it runs on must be held, and the requests that ran beside it must complete. */
import { expect } from 'chai';
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import requestCompletion from '@rhubarbcroft/standins/fleet/requestCompletion';
import createExpectedAnswer from '@rhubarbcroft/standins/fleet/createExpectedAnswer';
import sleep from '../support/sleep.js';

const LOCATION = { domain: 'litoral', region: 'litoral' };
const ENGINES = ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5', 'engine-6'];
const POISON = 'CRASH-THE-ENGINE with this history';

describe('a request that crashes engines', () => {
  let fleet: LocalFleet;

  before(async () => {
    fleet = await LocalFleet.start({
      nodes: ['vm-1', 'vm-2', 'vm-3'].map((id) => ({ id, ...LOCATION })),
      endpoints: ENGINES.map((id) => ({
        id,
        kind: 'engine',
        ...LOCATION,
        labels: { model: 'appraiser' },
      })),
      document: { models: [{ name: 'appraiser', where: 'model=appraiser' }] },
    });
  });

  after(() => fleet.stop());

  it('crashes at most two engines, however often and through whichever entry VM it is sent', async () => {
    const otherPrompts = Array.from({ length: 30 }, (_unused, index) => `bystander ${index}`);
    const pendingAnswers = otherPrompts.map((prompt, index) =>
      requestCompletion({
        url: fleet.nodes[index % 3].callerUrl,
        model: 'appraiser',
        prompt,
        maxTokens: 60,
      }),
    );
    await sleep(150);
    const refusals: (string | undefined)[] = [];
    for (let round = 0; round < 3; round += 1) {
      for (const node of fleet.nodes) {
        const answer = await requestCompletion({
          url: node.callerUrl,
          model: 'appraiser',
          prompt: POISON,
          maxTokens: 20,
        });
        refusals.push(answer.error?.code);
      }
    }
    const crashed = fleet.endpoints.filter(({ program }) => !program.running);
    expect(refusals).to.deep.equal(refusals.map(() => 'POISONED'));
    expect(crashed.length).to.be.at.most(2);
    const answers = await Promise.all(pendingAnswers);
    expect(answers.map((answer) => answer.error?.code ?? 'whole')).to.deep.equal(
      otherPrompts.map(() => 'whole'),
    );
    expect(answers.map((answer) => answer.text)).to.deep.equal(
      otherPrompts.map((prompt) => createExpectedAnswer(prompt, 60)),
    );
  });

  it('does not hold the requests that ran on the same engines', async () => {
    const repeated = await Promise.all(
      Array.from({ length: 30 }, (_unused, index) =>
        requestCompletion({
          url: fleet.nodes[index % 3].callerUrl,
          model: 'appraiser',
          prompt: `bystander ${index}`,
          maxTokens: 5,
        }),
      ),
    );
    expect(repeated.filter((answer) => answer.error !== undefined)).to.deep.equal([]);
  });
});
