/**
 * Guards against conflicting orders after a takeover. The previous lease holder pauses after it has
 * written its intent and before it sends the order, so at an engine that ignores fencing tokens it may
 * still send it later. The golden files record which orders its successor sends, and when.
 */
import { expect } from 'chai';
import parseFleetDocument from '@rhubarbcroft/protocol/fleet/parseFleetDocument';
import Fleet from 'rhubarbcroft/configuration/Fleet';
import DriverFactory from 'rhubarbcroft/endpoints/DriverFactory';
import EndpointRegistry from 'rhubarbcroft/endpoints/EndpointRegistry';
import type EngineOrder from 'rhubarbcroft/endpoints/EngineOrder';
import type ServiceDriver from 'rhubarbcroft/endpoints/ServiceDriver';
import DrainRegistry from 'rhubarbcroft/membership/DrainRegistry';
import NodeDirectory from 'rhubarbcroft/membership/NodeDirectory';
import VmRegistry from 'rhubarbcroft/membership/VmRegistry';
import IntentRepository from 'rhubarbcroft/orders/IntentRepository';
import IssuerLiveness from 'rhubarbcroft/orders/IssuerLiveness';
import Lease from 'rhubarbcroft/orders/Lease';
import OrderIssuer from 'rhubarbcroft/orders/OrderIssuer';
import ManualClock from '../support/ManualClock.js';
import MemoryTable from '../support/MemoryTable.js';
import RecordingEngine from './RecordingEngine.js';

const TTL_MS = 6_000;
const VM_LIST_LAG_MS = 30_000;
const ENGINE = 'engine-1';
const GROUP = 'litoral';
const SIGNAL = new AbortController().signal;
const DECODE: EngineOrder = { type: 'role', role: 'decode' };
const PREFILL: EngineOrder = { type: 'role', role: 'prefill' };

class SingleEngineFactory extends DriverFactory {
  readonly #engine: RecordingEngine;

  constructor(engine: RecordingEngine) {
    super();
    this.#engine = engine;
  }

  override createEngine(): RecordingEngine {
    return this.#engine;
  }

  override createService(): ServiceDriver {
    throw new Error('SingleEngineFactory creates no services');
  }
}

describe('the order issuer after a lease takeover', () => {
  function createFleet(fencing: string): Fleet {
    const endpoint = { id: ENGINE, kind: 'engine', url: 'http://127.0.0.1:1', fencing };
    const document = parseFleetDocument({
      endpoints: [{ ...endpoint, domain: GROUP, region: GROUP, labels: {} }],
    });
    return new Fleet({ version: 1, document: document.unwrapOr(undefined as never) });
  }

  async function takeOver(fencing: string): Promise<{
    readonly engine: RecordingEngine;
    readonly successor: OrderIssuer;
    readonly closeFormerIntent: () => Promise<unknown>;
    readonly removeFormerVm: () => Promise<void>;
  }> {
    const clock = new ManualClock();
    const table = new MemoryTable();
    const engine = new RecordingEngine();
    const vms = new VmRegistry(clock, VM_LIST_LAG_MS);
    const own = { nodeId: 'vm-2', incarnation: 'b', domain: GROUP };
    const directory = new NodeDirectory(own, clock, 1_000);
    const registry = new EndpointRegistry(clock, new SingleEngineFactory(engine), {
      drains: new DrainRegistry(clock),
      vms,
      findDomainPosition: () => directory.findDomainPosition(),
    });
    registry.applyFleet(createFleet(fencing));
    vms.record([{ id: 'vm-1', state: 'live' }]);
    const [former, lease] = ['vm-1/a', 'vm-2/b'].map(
      (holder) => new Lease({ table, clock, group: GROUP, holder, ttlMs: TTL_MS, marginMs: 2_000 }),
    );
    const intents = new IntentRepository(table, GROUP);
    await former.acquireOrRenew();
    const { authority } = former;
    const intent = {
      orderId: 'former',
      epoch: 1,
      issuer: 'vm-1/a',
      order: DECODE,
      state: 'open',
    } as const;
    await intents.open(ENGINE, 0, intent, authority as NonNullable<typeof authority>);
    await lease.acquireOrRenew();
    await clock.sleep(TTL_MS + 1);
    await lease.acquireOrRenew();
    const issuers = new IssuerLiveness(directory, vms);
    return {
      engine,
      successor: new OrderIssuer({ lease, intents, issuers, registry, clock, issuer: 'vm-2/b' }),
      closeFormerIntent: () => intents.close(ENGINE, 1, intent, 'done'),
      removeFormerVm: async () => {
        vms.record([]);
        await clock.sleep(VM_LIST_LAG_MS + 1);
        await lease.acquireOrRenew();
      },
    };
  }

  async function issuePrefill(successor: OrderIssuer): Promise<string> {
    const result = await successor.issue(ENGINE, PREFILL, SIGNAL);
    return result.isOk ? result.value : result.error.code;
  }

  it('sends only the previous holder’s order until that holder has closed its intent', async () => {
    const { engine, successor, closeFormerIntent } = await takeOver('ignored');
    const waiting = [await issuePrefill(successor), await issuePrefill(successor)];
    const before = engine.orders;
    await closeFormerIntent();
    const done = await issuePrefill(successor);
    expect({ waiting, before, done, after: engine.orders }).toMatchSnapshot();
  });

  it('sends its own order once the previous holder’s VM has been off the list for longer than the list lags', async () => {
    const { engine, successor, removeFormerVm } = await takeOver('ignored');
    const waiting = await issuePrefill(successor);
    await removeFormerVm();
    expect({
      waiting,
      done: await issuePrefill(successor),
      orders: engine.orders,
    }).toMatchSnapshot();
  });

  it('adopts the previous order and sends its own without waiting when the engine checks fencing tokens', async () => {
    const { engine, successor } = await takeOver('checked');
    expect({ done: await issuePrefill(successor), orders: engine.orders }).toMatchSnapshot();
  });
});
