/** The tallies of all nodes, this one included: their latest demand, and their counts of the windows not yet fixed. */
import type Clock from '../supervision/Clock.js';
import DemandReports from './DemandReports.js';
import type NodeDemand from './NodeDemand.js';
import type Tally from './Tally.js';
import type UsageReport from './UsageReport.js';

type Counts = UsageReport['countsByAccount'];

interface Entry {
  readonly tally: Tally;
  readonly receivedAtMs: number;
  readonly countsByWindow: ReadonlyMap<number, Counts>;
}

/** Several periods of the tallies; a node that is silent for longer counts as down. */
const DEMAND_LIFE_MS = 4_000;
/** A node that was heard of within this time is waited for, and named when it is missing. */
const EXPECTED_MS = 10_000;
/** Longer than the counts of a process that ended are of use. */
const ENTRY_LIFE_MS = 120_000;
/** Fixed windows for which counts may still arrive. */
const KEPT_WINDOWS = 4;

function addCounts(sum: Counts, counts: Counts): Counts {
  const accounts = [...new Set([...Object.keys(sum), ...Object.keys(counts)])].sort();
  return Object.fromEntries(
    accounts.map((account) => [account, (sum[account] ?? 0) + (counts[account] ?? 0)]),
  );
}

function countAll(counts: Counts): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

export default class TallyBook extends DemandReports {
  readonly #clock: Clock;

  /** By process, since the counts of a restarted node add to those of the process before. */
  #entries: ReadonlyMap<string, Entry> = new Map();

  #fixedWindow = 0;

  /** Windows that this node itself has fixed, so that it knows which counts came too late for them. */
  readonly #fixedHere = new Set<number>();

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override list(): readonly NodeDemand[] {
    const nowMs = this.#clock.nowMs();
    return [...this.#entries.values()]
      .filter(({ receivedAtMs, tally }) => !tally.isLast && nowMs - receivedAtMs < DEMAND_LIFE_MS)
      .map(({ tally: { node, domain, demand }, receivedAtMs }) => ({
        ...{ node, domain, receivedAtMs },
        services: demand,
      }));
  }

  /** Takes over a tally and returns the number of requests that it has for windows already fixed and that are lost. */
  merge(tally: Tally): number {
    const nowMs = this.#clock.nowMs();
    const before = this.#entries.get(tally.process)?.countsByWindow ?? new Map<number, Counts>();
    const late = tally.windows.filter(({ window }) => this.#fixedHere.has(window));
    const open = tally.windows.filter(({ window }) => window > this.#fixedWindow);
    const countsByWindow = new Map([
      ...[...before].filter(([window]) => window > this.#fixedWindow - KEPT_WINDOWS),
      ...open.map(({ window, countsByAccount }) => [window, countsByAccount] as const),
    ]);
    const entry = { tally, receivedAtMs: nowMs, countsByWindow };
    this.#entries = new Map(
      [...this.#entries, [tally.process, entry] as const].filter(
        ([, { receivedAtMs }]) => nowMs - receivedAtMs < ENTRY_LIFE_MS,
      ),
    );
    return late.reduce(
      (sum, { window, countsByAccount }) =>
        sum + Math.max(0, countAll(countsByAccount) - countAll(before.get(window) ?? {})),
      0,
    );
  }

  /** The first window with counts that is not fixed. */
  get firstWindow(): number | undefined {
    const windows = [...this.#entries.values()].flatMap(({ countsByWindow }) =>
      [...countsByWindow.keys()].filter((window) => window > this.#fixedWindow),
    );
    return windows.length === 0 ? undefined : Math.min(...windows);
  }

  /** The counts of a window over all nodes. */
  sum(window: number): UsageReport {
    const countsByAccount = [...this.#entries.values()].reduce<Counts>(
      (sum, entry) => addCounts(sum, entry.countsByWindow.get(window) ?? {}),
      {},
    );
    return { window, countsByAccount };
  }

  /** The nodes whose final counts of a window have not been received, though they were heard of shortly before. */
  listMissing(window: number): readonly string[] {
    const nowMs = this.#clock.nowMs();
    const entries = [...this.#entries.values()];
    return entries
      .filter(
        ({ tally, receivedAtMs }) =>
          !tally.isLast && tally.closedWindow < window && nowMs - receivedAtMs < EXPECTED_MS,
      )
      .map(({ tally }) => tally.node)
      .sort();
  }

  /** How many of the nodes have not been heard of of late. */
  countUnheard(nodes: readonly string[]): number {
    const nowMs = this.#clock.nowMs();
    const heard = new Set(
      [...this.#entries.values()]
        .filter(({ receivedAtMs }) => nowMs - receivedAtMs < EXPECTED_MS)
        .map(({ tally }) => tally.node),
    );
    return nodes.filter((node) => !heard.has(node)).length;
  }

  /** The last window whose counts are fixed; 0 when none is known to be. */
  get fixedWindow(): number {
    return this.#fixedWindow;
  }

  /** Takes note that this window and all before it are fixed. */
  learnFixed(window: number): void {
    this.#fixedWindow = Math.max(this.#fixedWindow, window);
  }

  /** Takes note that this node has fixed a window with the counts that it has. */
  recordFixed(window: number): void {
    this.learnFixed(window);
    this.#fixedHere.add(window);
    this.#fixedHere.delete(window - KEPT_WINDOWS);
  }
}
