/**
 * Tests that a configuration comes into force on every node in time and never reverts, also during
 * outages and network partitions.
 */
import { expect } from 'chai';
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import requestCompletion from '@rhubarbcroft/standins/fleet/requestCompletion';
import callService from '@rhubarbcroft/standins/fleet/callService';
import createExpectedAnswer from '@rhubarbcroft/standins/fleet/createExpectedAnswer';
import createSmallFleet from '@rhubarbcroft/standins/fleet/createSmallFleet';
import sleep from '../support/sleep.js';

const IN_FORCE_BOUND_MS = 6_000;
const BASE = createSmallFleet().document;

describe('configuration', () => {
  let fleet: LocalFleet;

  beforeEach(async () => {
    fleet = await LocalFleet.start(
      createSmallFleet({
        settings: { platform: { pollMs: 2_000 } },
        relays: { peers: true, platform: true },
      }),
    );
  });

  afterEach(() => fleet.stop());

  async function readVersion(id: string): Promise<number> {
    const answer = await fleet.administer('GET', '/v1/fleet', undefined, fleet.node(id));
    return (answer as { readonly version: number }).version;
  }

  function listRelaysOf(id: string): ReturnType<LocalFleet['relays']['list']> {
    return fleet.relays.list((name) => name.split(' ').includes(id));
  }

  function cutOff(id: string): void {
    listRelaysOf(id).forEach((relay) => relay.cut());
  }

  function rejoin(id: string): void {
    listRelaysOf(id).forEach((relay) => relay.restore());
  }

  it('is in force on every node within 6 s of its acceptance', async () => {
    const startedAtMs = performance.now();
    await fleet.applyDocument({ ...BASE, kinds: [] });
    expect(performance.now() - startedAtMs).to.be.below(IN_FORCE_BOUND_MS);
  });

  it('never returns to an older version after a stale read or from a lagging peer', async () => {
    await fleet.applyDocument({ ...BASE, kinds: [] });
    const version = await readVersion('vm-1');
    await fleet.controlPlatform({ stale: true });
    const versions: number[] = [];
    for (let round = 0; round < 10; round += 1) {
      await sleep(300);
      versions.push(...(await Promise.all(fleet.nodes.map((node) => readVersion(node.plan.id)))));
    }
    expect(new Set(versions)).to.deep.equal(new Set([version]));
  });

  it('reaches a VM that starts while the platform is down, through the peers of the VM', async () => {
    const { plan, program } = fleet.node('vm-2');
    await program.stop('SIGKILL');
    await fleet.controlPlatform({ down: true });
    const node = await fleet.startNode(plan);
    await fleet.waitUntil(async () => (await readVersion('vm-2')) === 1, 'vm-2 has the document');
    const answer = await requestCompletion({
      url: node.callerUrl,
      model: 'appraiser',
      prompt: 'started alone',
      maxTokens: 5,
    });
    expect(answer.text).to.equal(createExpectedAnswer('started alone', 5));
  });

  it('stays in force in a domain that is cut off, which serves models, refuses claims as not_run and catches up later', async () => {
    cutOff('vm-3');
    await fleet.controlPlatform({ vms: [] });
    const [writer] = fleet.nodes;
    const { document } = (await fleet.administer('GET', '/v1/fleet')) as {
      readonly document: object;
    };
    await fleet.administer(
      'PUT',
      '/v1/fleet',
      { basedOn: 1, document: { ...document, kinds: [] } },
      writer,
    );
    const untilMs = performance.now() + 4_000;
    let served = 0;
    while (performance.now() < untilMs) {
      const prompt = `cut off ${served}`;
      const answer = await requestCompletion({
        url: fleet.node('vm-3').callerUrl,
        model: 'appraiser',
        prompt,
        maxTokens: 4,
      });
      expect(answer.text).to.equal(createExpectedAnswer(prompt, 4));
      served += 1;
    }
    const refused = await callService({
      url: fleet.node('vm-3').callerUrl,
      path: 'ledger/book',
      method: 'POST',
      idempotencyKey: 'c1',
      body: '1',
    });
    expect([refused.error?.code, refused.error?.ran]).to.deep.equal([
      'CLAIM_UNAVAILABLE',
      'not_run',
    ]);
    expect(await readVersion('vm-3')).to.equal(1);
    rejoin('vm-3');
    await fleet.waitUntil(
      async () => (await readVersion('vm-3')) === 2,
      'vm-3 has caught up',
      IN_FORCE_BOUND_MS,
    );
    const booked = await callService({
      url: fleet.node('vm-3').callerUrl,
      path: 'ledger/book',
      method: 'POST',
      idempotencyKey: 'c1',
      body: '1',
    });
    expect(booked.status).to.equal(200);
  });

  it('reaches a peer over a new connection when the old one has gone silent', async () => {
    fleet.relays
      .list((name) => name.startsWith('peer '))
      .forEach((relay) => relay.silenceOpenConnections());
    await fleet.waitUntil(
      async () => {
        const state = JSON.stringify(
          await fleet.administer('GET', '/v1/state', undefined, fleet.node('vm-1')),
        );
        return /"liveInDomain":\["vm-1","vm-2"\]/.test(state);
      },
      'vm-1 and vm-2 are live in the domain again',
      IN_FORCE_BOUND_MS,
    );
    fleet.relays.get('platform vm-2').cut();
    const { document } = (await fleet.administer('GET', '/v1/fleet')) as {
      readonly document: object;
    };
    await fleet.administer('PUT', '/v1/fleet', {
      basedOn: 1,
      document: { ...document, kinds: [] },
    });
    await fleet.waitUntil(
      async () => (await readVersion('vm-2')) === 2,
      'vm-2 has received version 2 from a peer',
      IN_FORCE_BOUND_MS,
    );
  });
});
