/**
 * Guards against two suspect requests on one endpoint: which endpoints each node may use for them, and how long
 * a node that owns none waits. If two met there, a crash would not identify the request that caused it.
 */
import { expect } from 'chai';
import chooseOwner from 'rhubarbcroft/decisions/chooseOwner';
import SuspectIsolation from 'rhubarbcroft/dispatch/SuspectIsolation';
import NodeDirectory from 'rhubarbcroft/membership/NodeDirectory';
import ManualClock from '../support/ManualClock.js';

const NODES = ['vm-1', 'vm-2', 'vm-3'];
const ENGINES = ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5', 'engine-6'];
const HEARTBEAT_MS = 200;

function createDirectory(nodeId: string, clock: ManualClock): NodeDirectory {
  const directory = new NodeDirectory(
    { nodeId, incarnation: 'first', domain: 'litoral' },
    clock,
    HEARTBEAT_MS,
  );
  NODES.filter((other) => other !== nodeId).forEach((other) =>
    directory.record({
      nodeId: other,
      incarnation: 'first',
      domain: 'litoral',
      configurationVersion: 1,
      leaving: false,
      demand: [],
    }),
  );
  return directory;
}

function createTicket(
  attemptId: string,
  endpointId: string,
): Parameters<SuspectIsolation['reserve']>[0] {
  return { attemptId, priority: 0, route: { endpointId, expectedFirstTokenMs: 0 } };
}

describe('isolation of suspect requests', () => {
  it('assigns each endpoint to exactly one node, also while heartbeats are late', async () => {
    const clock = new ManualClock();
    const isolations = NODES.map((node) => new SuspectIsolation(createDirectory(node, clock)));
    await clock.sleep(10 * HEARTBEAT_MS);
    const allowed = isolations.flatMap((isolation) => [...isolation.listAllowedIds(ENGINES, 0)]);
    expect(allowed.sort()).to.deep.equal(ENGINES);
  });

  it('keeps an endpoint reserved when another request ends there', () => {
    const isolation = new SuspectIsolation(createDirectory('vm-3', new ManualClock()));
    const [reserved] = isolation.listAllowedIds(ENGINES, 0);
    isolation.reserve(createTicket('suspect', reserved));
    isolation.release(createTicket('bystander', reserved));
    expect([...isolation.listAllowedIds(ENGINES, 0)]).not.to.include(reserved);
    isolation.release(createTicket('suspect', reserved));
    expect([...isolation.listAllowedIds(ENGINES, 0)]).to.include(reserved);
  });

  it('allows endpoints of other nodes after a wait when none that the node owns is available', () => {
    const isolation = new SuspectIsolation(createDirectory('vm-2', new ManualClock()));
    const foreign = ENGINES.filter((id) => chooseOwner(id, NODES) !== 'vm-2');
    expect([...isolation.listAllowedIds(foreign, 0)]).to.deep.equal([]);
    expect([...isolation.listAllowedIds(foreign, 2_000)]).to.deep.equal(foreign);
  });
});
