/**
 * Builds the branch of the duties: the lease that makes one node their holder, the tallies that all nodes send it, and
 * what the holder does. Undefined when the settings name no duties.
 */
import type Logger from 'bunyan';
import type GatewaySettings from '../gateway/GatewaySettings.js';
import type GossipState from '../gossip/GossipState.js';
import type Clock from '../supervision/Clock.js';
import Supervisor from '../supervision/Supervisor.js';
import Wakeup from '../supervision/Wakeup.js';
import type Metrics from '../telemetry/Metrics.js';
import Candidates from './Candidates.js';
import type DemandReports from './DemandReports.js';
import type DemandSource from './DemandSource.js';
import DutyActs from './DutyActs.js';
import type DutyCalls from './DutyCalls.js';
import DutyKeeper from './DutyKeeper.js';
import DutyLease from './DutyLease.js';
import type DutyRights from './DutyRights.js';
import type DutySources from './DutySources.js';
import GuardedDutyCalls from './GuardedDutyCalls.js';
import HolderView from './HolderView.js';
import LeasedRights from './LeasedRights.js';
import type RunRecorder from './RunRecorder.js';
import TallyBook from './TallyBook.js';
import TallyExchange from './TallyExchange.js';
import TallyReporter from './TallyReporter.js';
import TrueTime from './TrueTime.js';
import USAGE_SUBJECT from './USAGE_SUBJECT.js';
import UsageLedger from './UsageLedger.js';
import UsagePlanner from './UsagePlanner.js';
import UsageReporter from './UsageReporter.js';

interface DutiesOptions {
  readonly settings: GatewaySettings;
  readonly sources: { readonly duties?: DutySources | undefined };
  readonly log: Logger;
  /** Aborts when the node starts to shut down. */
  readonly shutdown: AbortSignal;
}

interface DutiesRuntime {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly demand?: DemandSource | undefined;
}

interface Duties {
  /** A task that orders replicas is declared as one more child of it. */
  readonly supervisor: Supervisor;
  readonly rights: DutyRights;
  readonly calls: DutyCalls;
  readonly reports: DemandReports;
  /** Undefined when usage is not reported. */
  readonly runs: RunRecorder | undefined;
}

/**
 * A takeover leaves time to report a window before it is late, and a holder outlives outages of the store of a few
 * seconds.
 */
const LEASE_TTL_MS = 6_000;
/** Longer than a call of a duty takes at most, so that none leaves after the lease. */
const LEASE_MARGIN_MS = 1_500;
/** Two renewals may fail before the lease ends. */
const RENEWAL_MS = 2_000;

export default function createDuties(
  { settings, sources, log, shutdown }: DutiesOptions,
  gossip: GossipState,
  { clock, metrics, demand }: DutiesRuntime,
): Duties | undefined {
  const { duties, nodeId, domain, peerAddress: address } = settings;
  if (duties === undefined || sources.duties === undefined) {
    return undefined;
  }
  const { callsPerS, leaseMs, usageWindowMs: windowMs } = duties;
  const { store, calls: platformCalls, maxCallMs } = sources.duties;
  const acts = new DutyActs(clock, maxCallMs);
  const lease = new DutyLease({
    ...{ store, clock, address, ttlMs: LEASE_TTL_MS, marginMs: LEASE_MARGIN_MS },
    computeReleaseDelayMs: () => acts.computeReleaseDelayMs(leaseMs),
  });
  const rights = new LeasedRights(lease, nodeId);
  const calls = new GuardedDutyCalls({ calls: platformCalls, rights, acts, clock, callsPerS });
  const time = new TrueTime(clock);
  const ledger = new UsageLedger(time, windowMs);
  const book = new TallyBook(clock);
  const view = new HolderView(lease, clock, address);
  const candidates = new Candidates(clock, () => gossip.nodes, address);
  const exchange = new TallyExchange({ book, view, time, shutdown, log, metrics });
  const shared = { lease, view, candidates, book, time, clock, log, metrics };
  const fixed = new Wakeup();
  const accepted = new Set<number>();
  const isAccepted = (window: number): boolean => accepted.has(window);
  const planner = new UsagePlanner({
    ...{ book, time, windowMs, lateMs: duties.usageLateMs, isAccepted },
    listPeers: () => gossip.nodes,
  });
  const supervisor = new Supervisor('duties', clock, log).declareChildren(
    new TallyReporter({ ...shared, address, domain, windowMs, ledger, exchange, demand }),
    new DutyKeeper({
      ...{ ...shared, fixed, shutdown, renewalMs: RENEWAL_MS },
      planner: duties.reportsUsage ? planner : undefined,
    }),
  );
  if (duties.reportsUsage) {
    lease.addSubject(USAGE_SUBJECT);
    supervisor.declareChildren(
      new UsageReporter({ lease, rights, calls, accepted, fixed, clock, log, metrics }),
    );
  }
  gossip.setTallies(exchange);
  return {
    ...{ supervisor, rights, calls, reports: book },
    runs: duties.reportsUsage ? ledger : undefined,
  };
}
