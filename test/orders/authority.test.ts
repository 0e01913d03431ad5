/**
 * Tests lease authority and orders under failures: real daemons that are frozen, killed or cut off from
 * the table while they change engines. The assertions use the orders that each engine stand-in recorded.
 */
import { expect } from 'chai';
import { request } from 'undici';
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import requestCompletion from '@rhubarbcroft/standins/fleet/requestCompletion';
import createExpectedAnswer from '@rhubarbcroft/standins/fleet/createExpectedAnswer';
import type FleetPlan from '@rhubarbcroft/standins/fleet/FleetPlan';
import type LocalNode from '@rhubarbcroft/standins/fleet/LocalNode';
import sleep from '../support/sleep.js';

interface Order {
  readonly orderId: string;
  readonly epoch: number;
  readonly order: { readonly type: string; readonly role: string };
  readonly accepted: boolean;
}

interface EngineRecord {
  readonly orders: readonly Order[];
  readonly cut: number;
  readonly served: number;
}

const PLACE = { domain: 'litoral', region: 'litoral' };
const MODELS = [{ name: 'appraiser', where: 'model=appraiser' }];
const LEASE = { leaseTtlMs: 1_200, leaseMarginMs: 400, planMs: 200 };

function createPlan(fencing: 'checked' | 'ignored', changes: Partial<FleetPlan> = {}): FleetPlan {
  const engine = { kind: 'engine' as const, ...PLACE, labels: { model: 'appraiser' }, fencing };
  return {
    nodes: ['vm-1', 'vm-2', 'vm-3'].map((id) => ({ id, ...PLACE })),
    endpoints: ['engine-1', 'engine-2'].map((id) => ({
      ...engine,
      id,
      standin: { model: { roleChangeMs: 400 } },
    })),
    document: { models: MODELS },
    settings: { control: LEASE, platform: { vmListLagMs: 1_500 } },
    ...changes,
  };
}

function declareRole(endpoint: string, role: string): Readonly<Record<string, unknown>> {
  return {
    models: MODELS,
    changes: [{ name: `role-${endpoint}`, action: 'role', endpoint, role }],
  };
}

describe('lease authority and orders', () => {
  let fleet: LocalFleet;

  afterEach(() => fleet.stop());

  async function readEngineRecord(id: string): Promise<EngineRecord> {
    return (await fleet.controlEndpoint(id)) as EngineRecord;
  }

  async function readHolder(): Promise<string | undefined> {
    const { rows } = (await fleet.controlPlatform()) as {
      readonly rows: readonly {
        readonly table: string;
        readonly value: { readonly holder: string; readonly released: boolean };
      }[];
    };
    const lease = rows.find((row) => row.table === 'leases');
    return lease === undefined || lease.value.released
      ? undefined
      : lease.value.holder.split('/')[0];
  }

  async function findHolder(): Promise<LocalNode> {
    await fleet.waitUntil(async () => (await readHolder()) !== undefined, 'a lease is held');
    return fleet.node((await readHolder()) as string);
  }

  async function readRole(id: string): Promise<string> {
    const response = await request(`http://127.0.0.1:${fleet.endpoint(id).port}/v1/load`);
    return ((await response.body.json()) as { readonly role: string }).role;
  }

  async function waitForRole(id: string, role: string): Promise<void> {
    await fleet.waitUntil(async () => (await readRole(id)) === role, `${id} is ${role}`, 20_000);
  }

  /** Lists the orders that took effect as [epoch, role], with each order id once. */
  function listEffective(record: EngineRecord): readonly (readonly [number, string])[] {
    const listedIds = new Set<string>();
    return record.orders
      .filter(
        ({ accepted, orderId }) =>
          accepted && !listedIds.has(orderId) && listedIds.add(orderId) !== undefined,
      )
      .map(({ epoch, order }) => [epoch, order.role] as const);
  }

  it('applies a declared role change with one lease, one intent and one order', async () => {
    fleet = await LocalFleet.start(createPlan('checked'));
    await fleet.applyDocument(declareRole('engine-1', 'prefill'));
    await waitForRole('engine-1', 'prefill');
    const first = await readEngineRecord('engine-1');
    expect(listEffective(first)).to.deep.equal([[1, 'prefill']]);
    expect((await readEngineRecord('engine-2')).orders).to.deep.equal([]);
  });

  for (const fencing of ['checked', 'ignored'] as const) {
    it(`does not let a holder that froze during a change override its successor’s change (fencing ${fencing})`, async () => {
      fleet = await LocalFleet.start(createPlan(fencing));
      const holder = await findHolder();
      const others = fleet.nodes.filter((node) => node !== holder);
      const [writer] = others;
      await fleet.controlEndpoint('engine-1', { delayOrdersMs: 600 });
      await declareThrough(writer, 1, 'decode');
      await fleet.waitUntil(
        async () => (await readIntent('engine-1'))?.state === 'open',
        'the intent is open',
      );
      holder.program.signal('SIGSTOP');
      await fleet.waitUntil(
        async () => (await readHolder()) !== holder.plan.id,
        'another node holds the lease',
      );
      await declareThrough(writer, 2, 'prefill');
      await sleep(1_500);
      holder.program.signal('SIGCONT');
      await waitForRole('engine-1', 'prefill');
      await sleep(1_500);
      const roles = listEffective(await readEngineRecord('engine-1')).map(([, role]) => role);
      expect(roles).to.deep.equal(['decode', 'prefill']);
      expect(await readRole('engine-1')).to.equal('prefill');
    });
  }

  async function readDocument(node: LocalNode): Promise<Readonly<Record<string, unknown>>> {
    const current = (await fleet.administer('GET', '/v1/fleet', undefined, node)) as {
      readonly document: Readonly<Record<string, unknown>>;
    };
    return current.document;
  }

  /**
   * Declares a role of engine-1 and does not wait until it is in force on all nodes, since one may be
   * frozen.
   */
  async function declareThrough(writer: LocalNode, basedOn: number, role: string): Promise<void> {
    const document = { ...(await readDocument(writer)), ...declareRole('engine-1', role) };
    await fleet.administer('PUT', '/v1/fleet', { basedOn, document }, writer);
  }

  async function readIntent(id: string): Promise<{ readonly state: string } | undefined> {
    const { rows } = (await fleet.controlPlatform()) as {
      readonly rows: readonly {
        readonly table: string;
        readonly key: string;
        readonly value: { readonly state: string };
      }[];
    };
    return rows.find((row) => row.table === 'intents' && row.key === id)?.value;
  }

  it('adopts the order of a holder that was killed during a change', async () => {
    fleet = await LocalFleet.start(createPlan('ignored'));
    const holder = await findHolder();
    const [writer] = fleet.nodes.filter((node) => node !== holder);
    await declareThrough(writer, 1, 'decode');
    await fleet.waitUntil(
      async () => (await readIntent('engine-1'))?.state === 'open',
      'the intent is open',
    );
    await holder.program.stop('SIGKILL');
    await fleet.waitUntil(
      async () => (await readIntent('engine-1'))?.state === 'closed',
      'the intent is closed',
      20_000,
    );
    const record = await readEngineRecord('engine-1');
    expect(listEffective(record).map(([, role]) => role)).to.deep.equal(['decode']);
  });

  it('completes the change when an engine crashes during it', async () => {
    fleet = await LocalFleet.start(createPlan('ignored'));
    await findHolder();
    await fleet.applyDocument(declareRole('engine-1', 'decode'));
    await fleet.waitUntil(
      async () => (await readEngineRecord('engine-1')).orders.length > 0,
      'engine-1 received the order',
    );
    const { plan, port, program } = fleet.endpoint('engine-1');
    await program.stop('SIGKILL');
    await fleet.startEndpoint(plan, port);
    await waitForRole('engine-1', 'decode');
    await fleet.waitUntil(
      async () => (await readIntent('engine-1'))?.state === 'closed',
      'the intent is closed',
    );
  });

  it('keeps the lease holder while answers to renewals are lost, and has none during a long outage of the table', async () => {
    fleet = await LocalFleet.start(createPlan('checked'));
    const holder = await findHolder();
    await fleet.controlPlatform({ loseAnswers: true });
    await sleep(1_500);
    await fleet.controlPlatform({ loseAnswers: false });
    await sleep(1_000);
    expect((await findHolder()).plan.id).to.equal(holder.plan.id);
    await fleet.controlPlatform({ down: true });
    await sleep(2_000);
    const states = await Promise.all(
      fleet.nodes.map((node) => fleet.administer('GET', '/v1/state', undefined, node)),
    );
    expect(JSON.stringify(states)).not.to.match(/"epoch":\d/);
    await fleet.controlPlatform({ down: false });
    await findHolder();
    await fleet.applyDocument(declareRole('engine-2', 'prefill'));
    await waitForRole('engine-2', 'prefill');
  });

  it('refuses the later of two concurrent changes by operators and reports the difference', async () => {
    fleet = await LocalFleet.start(createPlan('checked'));
    const [first, second] = fleet.nodes;
    const document = await readDocument(first);
    const write = (node: LocalNode, role: string): Promise<unknown> =>
      fleet.administer(
        'PUT',
        '/v1/fleet',
        { basedOn: 1, document: { ...document, ...declareRole('engine-1', role) } },
        node,
      );
    const answers = await Promise.all([write(first, 'prefill'), write(second, 'decode')]);
    const refused = answers.filter((answer) =>
      JSON.stringify(answer).includes('CONFIGURATION_STALE'),
    );
    expect(refused).to.have.length(1);
    const laterAnswer = JSON.stringify(await write(second, 'mixed'));
    expect(laterAnswer).to.include('based on version 1, but the current version is 2');
    expect(laterAnswer).to.include('~ changes.role-engine-1');
  });

  const CHANGES = [
    { action: 'role', role: 'prefill' },
    { action: 'model', model: 'appraiser', modelVersion: '2' },
  ] as const;

  for (const change of CHANGES) {
    it(`interrupts no stream during a ${change.action} change under load`, async () => {
      fleet = await LocalFleet.start(createPlan('checked'));
      await findHolder();
      const prompts = Array.from({ length: 12 }, (_unused, index) => `a long plan ${index}`);
      const pendingAnswers = prompts.map((prompt, index) =>
        requestCompletion({
          url: fleet.nodes[index % 3].callerUrl,
          model: 'appraiser',
          prompt,
          maxTokens: 400,
        }),
      );
      await sleep(300);
      await fleet.applyDocument({
        models: MODELS,
        changes: [{ name: 'planned', endpoint: 'engine-1', ...change }],
      });
      await fleet.waitUntil(
        async () => (await readIntent('engine-1'))?.state === 'closed',
        'the intent of engine-1 is closed',
        20_000,
      );
      const answers = await Promise.all(pendingAnswers);
      expect(
        answers.map((answer, index) => answer.text === createExpectedAnswer(prompts[index], 400)),
      ).to.deep.equal(prompts.map(() => true));
      const { cut, orders } = await readEngineRecord('engine-1');
      const effective = orders.filter(({ accepted }) => accepted).map(({ order }) => order.type);
      expect({ cut, effective }).to.deep.equal({ cut: 0, effective: [change.action] });
    });
  }
});
