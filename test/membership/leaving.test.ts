/** Endpoints and entry VMs that leave under load, with the platform reachable and unreachable. */
import { expect } from 'chai';
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import requestCompletion from '@rhubarbcroft/standins/fleet/requestCompletion';
import createExpectedAnswer from '@rhubarbcroft/standins/fleet/createExpectedAnswer';
import sleep from '../support/sleep.js';

const PLACE = { domain: 'litoral', region: 'litoral' };
const LEAVING_BOUND_MS = 3_000;
const MODELS = [{ name: 'appraiser', where: 'model=appraiser' }];

describe('leaving endpoints and entry VMs', () => {
  let fleet: LocalFleet;

  beforeEach(async () => {
    fleet = await LocalFleet.start({
      nodes: ['vm-1', 'vm-2', 'vm-3'].map((id) => ({ id, ...PLACE })),
      endpoints: ['engine-1', 'engine-2', 'engine-3'].map((id) => ({
        id,
        kind: 'engine',
        ...PLACE,
        labels: { model: 'appraiser' },
      })),
      document: { models: MODELS },
    });
  });

  afterEach(() => fleet.stop());

  /**
   * Sends short prompts without a pause while the endpoint leaves. Returns the wrong or failed answers, and the
   * requests that were dispatched to the endpoint later than `LEAVING_BOUND_MS` after it began to leave.
   */
  async function collectViolations(
    endpoint: string,
    leave: () => Promise<unknown>,
  ): Promise<readonly string[]> {
    const violations: string[] = [];
    let leaveStartedAtMs = Infinity;
    let running = true;
    const sendPrompts = async (index: number): Promise<void> => {
      while (running) {
        const startedAtMs = performance.now();
        const prompt = `question ${index} ${startedAtMs}`;
        const answer = await requestCompletion({
          url: fleet.nodes[index % 3].callerUrl,
          model: 'appraiser',
          prompt,
          maxTokens: 4,
        });
        if (answer.text !== createExpectedAnswer(prompt, 4)) {
          violations.push(`interrupted or refused: ${JSON.stringify(answer.error)}`);
        }
        if (
          answer.headers['rhubarb-endpoint'] === endpoint &&
          startedAtMs > leaveStartedAtMs + LEAVING_BOUND_MS
        ) {
          violations.push(
            `new work ${Math.round(startedAtMs - leaveStartedAtMs)} ms after leaving`,
          );
        }
      }
    };
    const senders = Array.from({ length: 12 }, (_unused, index) => sendPrompts(index));
    await sleep(500);
    leaveStartedAtMs = performance.now();
    await leave();
    await sleep(LEAVING_BOUND_MS + 2_000);
    running = false;
    await Promise.all(senders);
    return violations;
  }

  it('dispatches no new work to an endpoint that the fleet document drains, and interrupts no answer', async () => {
    const change = { name: 'replace-1', action: 'drain', endpoint: 'engine-1' };
    expect(
      await collectViolations('engine-1', () =>
        fleet.applyDocument({ models: MODELS, changes: [change] }),
      ),
    ).to.deep.equal([]);
  });

  it('dispatches no new work to an endpoint drained by an operator while the platform is down', async () => {
    await fleet.controlPlatform({ down: true });
    const drain = (): Promise<unknown> =>
      fleet.administer('POST', '/v1/drains', { endpoint: 'engine-2' });
    expect(await collectViolations('engine-2', drain)).to.deep.equal([]);
  });

  it('dispatches no new work to an endpoint that reports itself leaving while the VM list lags and the platform is down', async () => {
    await fleet.controlPlatform({ down: true, vmListLagMs: 30_000 });
    expect(
      await collectViolations('engine-3', () =>
        fleet.controlEndpoint('engine-3', { leaving: true }),
      ),
    ).to.deep.equal([]);
  });

  it('resumes the long streams of a drained engine at other engines without interruption', async () => {
    const prompts = Array.from({ length: 9 }, (_unused, index) => `long ${index}`);
    const requests = prompts.map((prompt, index) =>
      requestCompletion({
        url: fleet.nodes[index % 3].callerUrl,
        model: 'appraiser',
        prompt,
        maxTokens: 800,
      }),
    );
    await sleep(400);
    const startedAtMs = performance.now();
    await fleet.administer('POST', '/v1/drains', { endpoint: 'engine-1' });
    await fleet.waitUntil(
      async () =>
        ((await fleet.controlEndpoint('engine-1')) as { readonly open: number }).open === 0,
      'engine-1 has no open requests',
    );
    expect(performance.now() - startedAtMs).to.be.below(LEAVING_BOUND_MS);
    const answers = await Promise.all(requests);
    expect(answers.map(({ text }) => text)).to.deep.equal(
      prompts.map((prompt) => createExpectedAnswer(prompt, 800)),
    );
  });

  it('interrupts no stream during a rolling restart of all entry VMs', async () => {
    for (const node of fleet.nodes) {
      const prompts = Array.from(
        { length: 8 },
        (_unused, index) => `restart of ${node.plan.id} ${index}`,
      );
      const requests = prompts.map((prompt) =>
        requestCompletion({
          url: node.callerUrl,
          model: 'appraiser',
          prompt,
          maxTokens: 150,
          stream: prompt.length % 2 === 0,
        }),
      );
      await sleep(200);
      const status = await node.program.stop('SIGTERM');
      const answers = await Promise.all(requests);
      expect(status).to.equal(0);
      expect(answers.map(({ text }) => text)).to.deep.equal(
        prompts.map((prompt) => createExpectedAnswer(prompt, 150)),
      );
      await fleet.startNode(node.plan);
    }
  });
});
