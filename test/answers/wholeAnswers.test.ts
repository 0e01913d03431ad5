/**
 * Guards against answers that are cut short or mixed with those of other requests when an engine is killed or
 * freezes, streams are cut, or open connections go silent.
 */
import { expect } from 'chai';
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import requestCompletion from '@rhubarbcroft/standins/fleet/requestCompletion';
import callService from '@rhubarbcroft/standins/fleet/callService';
import createExpectedAnswer from '@rhubarbcroft/standins/fleet/createExpectedAnswer';
import type Answer from '@rhubarbcroft/standins/fleet/Answer';
import sleep from '../support/sleep.js';

const LOCATION = { domain: 'litoral', region: 'litoral' };
const TOKENS = 150;

describe('whole answers', () => {
  let fleet: LocalFleet;

  before(async () => {
    fleet = await LocalFleet.start({
      nodes: ['vm-1', 'vm-2'].map((id) => ({ id, ...LOCATION })),
      endpoints: [
        ...['engine-1', 'engine-2', 'engine-3'].map((id) => ({
          id,
          kind: 'engine' as const,
          ...LOCATION,
          labels: { model: 'appraiser' },
          standin: { model: { mixedSlots: 256 } },
        })),
        { id: 'ledger-1', kind: 'service' as const, ...LOCATION, labels: { app: 'ledger' } },
      ],
      document: {
        models: [{ name: 'appraiser', where: 'model=appraiser' }],
        services: [{ name: 'ledger', where: 'app=ledger' }],
      },
      settings: { admission: { maxQueuedPerKind: 10_000 } },
      relays: { endpoints: ['engine-1', 'engine-2', 'engine-3', 'ledger-1'] },
    });
  });

  after(() => fleet.stop());

  function sendRequests(
    count: number,
    name: string,
    tokens = TOKENS,
    headers: Readonly<Record<string, string>> = {},
  ): readonly Promise<Answer>[] {
    return Array.from({ length: count }, (_unused, index) =>
      requestCompletion({
        headers,
        url: fleet.nodes[index % 2].callerUrl,
        model: 'appraiser',
        prompt: `${name} ${index}`,
        maxTokens: tokens,
        stream: index % 4 !== 0,
      }),
    );
  }

  /** The number of wrong answers by status and error; empty when each request got its own complete answer. */
  function countWrongAnswers(
    answers: readonly Answer[],
    name: string,
    tokens = TOKENS,
  ): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    answers.forEach((answer, index) => {
      if (answer.text !== createExpectedAnswer(`${name} ${index}`, tokens) || !answer.isComplete) {
        const outcome = `${answer.status} ${JSON.stringify(answer.error)}`;
        counts[outcome] = (counts[outcome] ?? 0) + 1;
      }
    });
    return counts;
  }

  it('resumes answers after the last delivered token when streams are cut', async () => {
    const pending = sendRequests(30, 'cut');
    await sleep(500);
    fleet.relays.get('endpoint engine-1').cut();
    await sleep(200);
    fleet.relays.get('endpoint engine-1').restore();
    expect(countWrongAnswers(await Promise.all(pending), 'cut')).to.deep.equal({});
  });

  it('resumes answers without a long wait when open connections go silent while new ones work', async () => {
    const pending = sendRequests(12, 'silent');
    await sleep(500);
    fleet.relays.get('endpoint engine-2').silenceOpenConnections();
    expect(countWrongAnswers(await Promise.all(pending), 'silent')).to.deep.equal({});
  });

  it('resumes answers when an engine is killed', async () => {
    const pending = sendRequests(30, 'killed');
    await sleep(500);
    const { plan, port, program } = fleet.endpoint('engine-3');
    await program.stop('SIGKILL');
    expect(countWrongAnswers(await Promise.all(pending), 'killed')).to.deep.equal({});
    await fleet.startEndpoint(plan, port);
  });

  it('resumes answers when an engine freezes', async () => {
    const pending = sendRequests(12, 'frozen');
    await sleep(500);
    fleet.endpoint('engine-1').program.signal('SIGSTOP');
    expect(countWrongAnswers(await Promise.all(pending), 'frozen')).to.deep.equal({});
    fleet.endpoint('engine-1').program.signal('SIGCONT');
  });

  it('runs a call that must not repeat only once when an open connection goes silent', async () => {
    const first = await callService({ url: fleet.nodes[0].callerUrl, path: 'ledger/prices' });
    fleet.relays.get('endpoint ledger-1').silenceOpenConnections();
    const claimed = await callService({
      url: fleet.nodes[0].callerUrl,
      path: 'ledger/book',
      method: 'POST',
      idempotencyKey: 's1',
      body: '1',
    });
    const counts = (await fleet.controlEndpoint('ledger-1')) as {
      readonly runsByKey: Readonly<Record<string, number>>;
    };
    expect([first.status, claimed.status, counts.runsByKey.s1]).to.deep.equal([200, 200, 1]);
  });

  it('stay whole and apart among ten thousand that run at once', async function test() {
    this.timeout(180_000);
    // The deadline is near the test's own time limit, because the speed of the machine is not under test.
    const pending = sendRequests(10_000, 'crowd', 8, { 'rhubarb-deadline-ms': '170000' });
    expect(countWrongAnswers(await Promise.all(pending), 'crowd', 8)).to.deep.equal({});
  });

  it('delivers the complete answer to a caller that stops reading for a while', async () => {
    const answer = await requestCompletion({
      url: fleet.nodes[0].callerUrl,
      model: 'appraiser',
      prompt: 'slow reader',
      maxTokens: 300,
      onToken: (_text, count) => {
        if (count === 5) {
          Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1_500);
        }
      },
    });
    expect(answer.text).to.equal(createExpectedAnswer('slow reader', 300));
  });
});
