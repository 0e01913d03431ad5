/**
 * Tests that an idempotency key runs at most once when entry VMs are killed, answers are lost or the
 * platform is down. The assertions use the runs that the service stand-ins counted.
 */
import { expect } from 'chai';
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import type Answer from '@rhubarbcroft/standins/fleet/Answer';
import requestCompletion from '@rhubarbcroft/standins/fleet/requestCompletion';
import callService from '@rhubarbcroft/standins/fleet/callService';
import createExpectedAnswer from '@rhubarbcroft/standins/fleet/createExpectedAnswer';
import createSmallFleet from '@rhubarbcroft/standins/fleet/createSmallFleet';
import sleep from '../support/sleep.js';

const SERVICES = ['ledger-1', 'ledger-2'];

describe('at most once', () => {
  let fleet: LocalFleet;

  before(async () => {
    fleet = await LocalFleet.start(createSmallFleet());
  });

  after(() => fleet.stop());

  afterEach(async () => {
    await fleet.controlPlatform({ down: false, slowMs: 0, loseAnswers: false });
    await Promise.all(
      SERVICES.map((id) => fleet.controlEndpoint(id, { delayMs: 5, loseAnswers: false })),
    );
  });

  async function countRuns(key: string): Promise<number> {
    const counts = (await Promise.all(SERVICES.map((id) => fleet.controlEndpoint(id)))) as {
      readonly runsByKey: Readonly<Record<string, number>>;
    }[];
    return counts.reduce((sum, { runsByKey }) => sum + (runsByKey[key] ?? 0), 0);
  }

  function book(key: string, node = fleet.nodes[0]): Promise<Answer> {
    return callService({
      url: node.callerUrl,
      path: 'ledger/bookings',
      method: 'POST',
      body: key,
      idempotencyKey: key,
    });
  }

  it('runs a key once when it is sent through every entry VM at the same time', async () => {
    await Promise.all(SERVICES.map((id) => fleet.controlEndpoint(id, { delayMs: 300 })));
    const answers = await Promise.all(
      [...fleet.nodes, ...fleet.nodes].map((node) => book('at-once', node)),
    );
    expect(await countRuns('at-once')).to.equal(1);
    expect(new Set(answers.map((answer) => answer.text)).size).to.equal(1);
  });

  it('runs a key at most once when the entry VM is killed at any step, and never falsely reports not_run', async () => {
    const outcomes: string[] = [];
    const [victim, survivor] = fleet.nodes;
    for (const [step, delayMs] of [
      ['before the claim', 0],
      ['at the claim', 3],
      ['after the dispatch', 150],
      ['after the answer', 700],
    ] as const) {
      const key = `killed ${step}`;
      await Promise.all(SERVICES.map((id) => fleet.controlEndpoint(id, { delayMs: 400 })));
      await fleet.controlPlatform({ slowMs: step === 'after the dispatch' ? 0 : 5 });
      const first = book(key, victim).catch(() => undefined);
      await sleep(delayMs);
      await fleet.node(victim.plan.id).program.stop('SIGKILL');
      await first;
      const resent = await book(key, survivor);
      const runs = await countRuns(key);
      const truthful =
        resent.status === 200 ? runs === 1 : resent.error?.ran === 'unknown' && runs <= 1;
      outcomes.push(
        `${step}: ${truthful ? 'truthful' : `${runs} runs, ${JSON.stringify(resent.error)}`}`,
      );
      await fleet.startNode(victim.plan);
      await fleet.waitUntil(
        async () => (await book(`ready ${step}`, fleet.node(victim.plan.id))).status === 200,
        'the restarted entry VM serves',
      );
    }
    expect(outcomes).toMatchSnapshot();
  });

  it('reports unknown and does not run a key again when the answer of the endpoint was lost', async () => {
    await Promise.all(SERVICES.map((id) => fleet.controlEndpoint(id, { loseAnswers: true })));
    const first = await book('lost-answer');
    await Promise.all(SERVICES.map((id) => fleet.controlEndpoint(id, { loseAnswers: false })));
    const again = await book('lost-answer', fleet.nodes[2]);
    expect([first.error?.ran, again.error?.ran]).to.deep.equal(['unknown', 'unknown']);
    expect(await countRuns('lost-answer')).to.equal(1);
  });

  it('grants a claim after one lost answer by sending the same write again', async () => {
    await fleet.controlPlatform({ loseNextOf: 'claims' });
    const first = await book('lost-once');
    const again = await book('lost-once', fleet.nodes[1]);
    expect([first.status, again.status]).to.deep.equal([200, 200]);
    expect(await countRuns('lost-once')).to.equal(1);
  });

  it('runs a resend when all answers to the first claim were lost', async () => {
    await fleet.controlPlatform({ loseAnswers: true });
    const refused = await book('lost-claim');
    await fleet.controlPlatform({ loseAnswers: false });
    const again = await book('lost-claim');
    expect(refused.error?.ran).to.equal('not_run');
    expect(again.status).to.equal(200);
    expect(await countRuns('lost-claim')).to.equal(1);
  });

  it('refuses calls with a key as not_run while the table is unreachable, and still serves repeatable work', async () => {
    await fleet.controlPlatform({ down: true });
    const refused = await book('outage');
    const lookup = await callService({ url: fleet.nodes[0].callerUrl, path: 'ledger/prices/tie' });
    const model = await requestCompletion({
      url: fleet.nodes[1].callerUrl,
      model: 'appraiser',
      prompt: 'in an outage',
      maxTokens: 5,
    });
    expect([refused.error?.code, refused.error?.ran]).to.deep.equal([
      'CLAIM_UNAVAILABLE',
      'not_run',
    ]);
    expect(lookup.status).to.equal(200);
    expect(model.text).to.equal(createExpectedAnswer('in an outage', 5));
    expect(await countRuns('outage')).to.equal(0);
    await fleet.controlPlatform({ down: false });
    expect((await book('outage', fleet.nodes[1])).status).to.equal(200);
    expect(await countRuns('outage')).to.equal(1);
  });

  it('commits claims in batches, so that there are fewer transactions than requests', async () => {
    await fleet.controlPlatform({ slowMs: 10 });
    const before = (await fleet.controlPlatform()) as { readonly writes: number };
    const keys = Array.from({ length: 300 }, (_unused, index) => `group-${index}`);
    const answers = await Promise.all(keys.map((key, index) => book(key, fleet.nodes[index % 3])));
    const after = (await fleet.controlPlatform()) as { readonly writes: number };
    expect(answers.filter((answer) => answer.status !== 200)).to.deep.equal([]);
    expect(after.writes - before.writes).to.be.below(300);
  });

  it('sends a call without a key once, and reports unknown when its answer is lost', async () => {
    await Promise.all(SERVICES.map((id) => fleet.controlEndpoint(id, { loseAnswers: true })));
    const before = (await Promise.all(SERVICES.map((id) => fleet.controlEndpoint(id)))) as {
      readonly runs: number;
    }[];
    const answer = await callService({
      url: fleet.nodes[0].callerUrl,
      path: 'ledger/bookings',
      method: 'POST',
      body: 'x',
    });
    const after = (await Promise.all(SERVICES.map((id) => fleet.controlEndpoint(id)))) as {
      readonly runs: number;
    }[];
    const runs =
      after.reduce((sum, each) => sum + each.runs, 0) -
      before.reduce((sum, each) => sum + each.runs, 0);
    expect([answer.error?.ran, runs]).to.deep.equal(['unknown', 1]);
  });
});
