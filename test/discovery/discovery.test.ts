/** Instances and routing documents when rows of the store arrive late, out of order, from peers, or vanish. */
import bunyan from 'bunyan';
import { expect } from 'chai';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import ChangeFeed from 'rhubarbcroft/discovery/ChangeFeed';
import type FeedPage from 'rhubarbcroft/discovery/FeedPage';
import deriveFeedTiming from 'rhubarbcroft/discovery/deriveFeedTiming';
import type WaitLimits from 'rhubarbcroft/discovery/WaitLimits';
import FeedReader from 'rhubarbcroft/discovery/FeedReader';
import type Instance from 'rhubarbcroft/instances/Instance';
import InstanceRegistry from 'rhubarbcroft/instances/InstanceRegistry';
import type RoutingDocument from 'rhubarbcroft/routes/RoutingDocument';
import CurrentRouting from 'rhubarbcroft/routes/CurrentRouting';
import RoutingTable from 'rhubarbcroft/routes/RoutingTable';
import ManualClock from '../support/ManualClock.js';
import createInstance from '../support/createInstance.js';

const log = bunyan.createLogger({ name: 'test', streams: [] });
const timing = deriveFeedTiming({ contactMs: 4_000, drainMs: 3_000, configApplyMs: 3_000 });

function instance(id: string, options: Partial<Instance> = {}): Instance {
  return createInstance({ id, ...options });
}

function page(version: number, ...instances: readonly Instance[]): FeedPage<Instance> {
  return { version, rows: instances.map((value) => ({ key: value.id, version, value })) };
}

function removal(version: number, key: string): FeedPage<Instance> {
  return { version, rows: [{ key, version, value: undefined }] };
}

describe('instance registry', () => {
  let clock: ManualClock;
  let registry: InstanceRegistry;
  const listIds = (): readonly string[] =>
    registry.listAvailable('s').map((state) => state.instance.id);

  beforeEach(() => {
    clock = new ManualClock();
    const routing = new CurrentRouting();
    registry = new InstanceRegistry({ routing, clock, log, connectTimeoutMs: 100 });
    registry.replaceAll(page(10, instance('a'), instance('b')));
  });

  it('drops leaving and removed instances at once while the store is reachable', () => {
    registry.applyChanges(page(11, instance('a', { isLeaving: true, sequence: 2 })));
    registry.applyChanges(removal(12, 'b'));
    expect(listIds()).to.deep.equal([]);
  });

  it('drops an instance that vanished during an outage only when it is still missing some seconds afterwards', async () => {
    registry.handleOutage();
    registry.applyChanges(removal(11, 'a'));
    registry.handleRecovery();
    registry.applyChanges(removal(12, 'b'));
    const idsDuringOutage = listIds();
    registry.applyChanges(page(13, instance('b', { sequence: 5 })));
    await clock.sleep(2_600);
    expect([idsDuringOutage, listIds()]).to.deep.equal([['a', 'b'], ['b']]);
  });

  it('applies removals from a peer only if the peer receives changes from the store', () => {
    registry.handleOutage();
    registry.applyPeerPage(page(11, instance('a', { sequence: 3 })), false);
    const afterUncertainPage = listIds();
    registry.applyPeerPage(page(12, instance('a', { sequence: 3 })), true);
    expect([afterUncertainPage, listIds()]).to.deep.equal([['a', 'b'], ['a']]);
  });

  it('ignores late writes of an earlier run or with a lower sequence number', () => {
    registry.applyChanges(page(11, instance('a', { isLeaving: true, sequence: 5 })));
    registry.applyChanges(page(12, instance('a', { sequence: 4 })));
    registry.applyChanges(page(13, instance('a', { sequence: 9, startedAtMs: 500 })));
    expect(listIds()).to.deep.equal(['b']);
  });

  it('treats a new run under the same id as a new instance', () => {
    const before = registry.find('a');
    registry.applyChanges(page(11, instance('a', { startedAtMs: 2_000, sequence: 0 })));
    expect([listIds(), registry.find('a') === before]).to.deep.equal([['b', 'a'].sort(), false]);
  });

  it('ignores a listing that is older than the current one', () => {
    registry.replaceAll(page(9));
    registry.applyPeerPage(page(8), true);
    expect(listIds()).to.deep.equal(['a', 'b']);
  });
});

class ScriptedFeed extends ChangeFeed<string> {
  override readonly name = 'scripted';

  readonly calls: string[] = [];

  readonly #answers: (Result<FeedPage<string> | 'expired', Failure> | 'hang')[];

  constructor(...answers: (Result<FeedPage<string> | 'expired', Failure> | 'hang')[]) {
    super();
    this.#answers = answers;
  }

  override async list(): Promise<Result<FeedPage<string>, Failure>> {
    return this.#next('list') as Promise<Result<FeedPage<string>, Failure>>;
  }

  override async waitForChanges(
    afterVersion: number,
    _limits: WaitLimits,
    signal: AbortSignal,
  ): Promise<Result<FeedPage<string> | 'expired', Failure>> {
    return this.#next(`after ${afterVersion}`, signal);
  }

  async #next(
    call: string,
    signal?: AbortSignal,
  ): Promise<Result<FeedPage<string> | 'expired', Failure>> {
    this.calls.push(call);
    const answer = this.#answers.shift() ?? 'hang';
    if (answer === 'hang') {
      await new Promise((resolve) => {
        signal?.addEventListener('abort', resolve, { once: true });
      });
      return err(createFailure('PLATFORM_ANSWER_LOST', 'stopped'));
    }
    return answer;
  }
}

describe('feed reader', () => {
  it('lists the table at once after a failure, takes the store for away only if that fails too, and otherwise waits for changes', async () => {
    const lost = err(createFailure('PLATFORM_ANSWER_LOST', 'cut'));
    const at = (version: number): Result<FeedPage<string>, Failure> => ok({ version, rows: [] });
    const feed = new ScriptedFeed(
      ...[lost, at(5), at(6), lost, at(8), lost, lost, at(9), ok<'expired', Failure>('expired')],
      at(10),
    );
    const events: string[] = [];
    const consumer = {
      replaceAll: ({ version }: FeedPage<string>): unknown => events.push(`all ${version}`),
      applyChanges: ({ version }: FeedPage<string>): unknown => events.push(`changes ${version}`),
      handleOutage: (): unknown => events.push('outage'),
      handleRecovery: (): unknown => events.push('return'),
    };
    const stop = new AbortController();
    const reader = new FeedReader({ feed, consumer, timing, clock: new ManualClock(), log });
    const running = reader.run(stop.signal);
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    stop.abort();
    await running;
    expect({ calls: feed.calls, events }).toMatchSnapshot();
  });

  it('calls the store at most once per second during a burst of changes', async () => {
    const at = (version: number): Result<FeedPage<string>, Failure> => ok({ version, rows: [] });
    const versions = Array.from({ length: 21 }, (_unused, index) => index + 1);
    const consumer = {
      replaceAll: (): void => undefined,
      applyChanges: (): void => undefined,
      handleOutage: (): void => undefined,
      handleRecovery: (): void => undefined,
    };
    const clock = new ManualClock();
    const stop = new AbortController();
    const running = new FeedReader({
      feed: new ScriptedFeed(...versions.map(at)),
      ...{ consumer, timing, clock, log },
    }).run(stop.signal);
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    // One listing and twenty answers with changes, a second apart, then a call that keeps waiting.
    expect(clock.nowMs()).to.equal(20_000);
    stop.abort();
    await running;
  });
});

function createDocument(version: number, prefixes: readonly string[]): RoutingDocument {
  return {
    version,
    services: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    routes: prefixes.map((prefix) => ({
      name: prefix,
      host: 'Shop.example',
      prefix,
      kind: 'idempotent',
      destinations: [{ service: 's', weight: 1 }],
      timeoutMs: 1,
      targetLatencyMs: 1,
      maxAttempts: 1,
      rank: 0,
      resumable: false,
      hasPrompts: false,
      maxEventGapMs: 1,
    })),
  };
}

describe('routing documents', () => {
  it('routes a request by the longest prefix of its host', () => {
    const table = new RoutingTable(createDocument(1, ['/a/', '/a/b/', '/']));
    const find = (host: string, path: string): string | undefined =>
      table.findRoute(host, path)?.name;
    expect([
      find('shop.example', '/a/b/c'),
      find('SHOP.example', '/a/bc'),
      find('shop.example', '/a'),
      find('other.example', '/a/'),
    ]).to.deep.equal(['/a/b/', '/a/', '/', undefined]);
  });

  it('keeps the current document when an older version is offered', () => {
    const routing = new CurrentRouting();
    const accepted = [3, 2, 3, 7].map((version) => routing.accept(createDocument(version, [])));
    expect([accepted, routing.version]).to.deep.equal([[true, false, false, true], 7]);
  });
});
