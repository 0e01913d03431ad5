/**
 * Holds prompt parts, and whole requests, that crash endpoints. The evidence is kept by crash and merged with that of the
 * peers, so that all nodes reach the same verdicts. What is blamed is held for a time that grows with its crashes; then
 * one request of the fleet tests it. An answer that begins on a part or a request clears it of all crashes known so far,
 * and this travels as evidence. The key of a request counts like a part that no other request shares.
 */
import type Clock from '../../supervision/Clock.js';
import type CrashReport from './CrashReport.js';
import type PartTrial from './PartTrial.js';
import type PartVerdict from './PartVerdict.js';
import type QuarantineChange from './QuarantineChange.js';
import type QuarantineDecision from './QuarantineDecision.js';
import judgeParts from './judgeParts.js';
import mergeCrashReports from './mergeCrashReports.js';

interface PartQuarantineOptions {
  readonly clock: Clock;
  /** The number of live nodes that come before this one in the order in which nodes may test the part. */
  readonly countNodesAhead: (part: string) => number;
}

/**
 * By the crashes beyond those needed to blame a part. A test of a poisonous part costs an engine and the requests that
 * run there; a part blamed by coincidence is one that few requests use, since an answer would have cleared it.
 */
const HOLD_MS = [15_000, 60_000, 240_000, 3_600_000] as const;
/** How long a test is given to produce an answer or a crash before another one may start. */
const TRIAL_MS = 3_000;
/**
 * A part may be tested by one node first and by twice as many with each such turn, so that a part that is rarely used
 * or whose first node is down is tested too, and two nodes hardly ever test at the same time.
 */
const TURN_MS = 1_000;
/** Twice the longest hold. */
const EVIDENCE_MS = 7_200_000;
const MAX_REPORTS = 128;
const MAX_FORGOTTEN_RUNS = 4_096;
const MAX_PROVEN_PARTS = 8_192;
const MAX_TRIALS = 1_024;

function evictOldest(map: Map<string, unknown>, maxSize: number): void {
  const surplus = map.size - maxSize;
  if (surplus > 0) {
    [...map.keys()].slice(0, surplus).forEach((key) => map.delete(key));
  }
}

function listOpenPrompts({ prompts, cleared }: CrashReport): CrashReport['prompts'] {
  const done = new Set(cleared);
  return prompts.filter((prompt) => prompt.some((part) => !done.has(part)));
}

export default class PartQuarantine {
  readonly #options: PartQuarantineOptions;

  readonly #reports = new Map<string, CrashReport>();

  /** Runs whose reports were dropped; a peer that still has one must not bring it back. */
  readonly #forgottenRuns = new Map<string, true>();

  /** Parts on which answers have begun, the latest last. */
  readonly #proven = new Map<string, true>();

  /** When the latest test of a part started. */
  readonly #trials = new Map<string, number>();

  #verdicts: ReadonlyMap<string, PartVerdict> = new Map();

  /** The parts that some report still suspects. */
  #openParts: ReadonlySet<string> = new Set();

  constructor(options: PartQuarantineOptions) {
    this.#options = options;
  }

  get verdicts(): readonly PartVerdict[] {
    return [...this.#verdicts.values()];
  }

  /** Whether some report still suspects something. */
  get hasOpenReports(): boolean {
    return this.#openParts.size > 0;
  }

  isBlamed(part: string): boolean {
    return this.#verdicts.has(part);
  }

  /** Records a crash; `prompts` holds the parts and the keys of the requests that had produced nothing. */
  recordCrash(run: string, prompts: readonly (readonly string[])[]): QuarantineChange {
    const atMs = this.#options.clock.nowMs();
    return this.merge([{ run, atMs, prompts, provenBefore: [], cleared: [] }]);
  }

  /** Records that an answer has begun on a prompt. */
  recordAnswer(parts: readonly string[]): QuarantineChange {
    parts.forEach((part) => {
      this.#proven.delete(part);
      this.#proven.set(part, true);
    });
    evictOldest(this.#proven, MAX_PROVEN_PARTS);
    return this.clear(parts);
  }

  /** Clears parts, or requests, of the crashes known so far. */
  clear(parts: readonly string[]): QuarantineChange {
    const open = new Set(parts.filter((part) => this.#openParts.has(part)));
    if (open.size === 0) {
      return { news: [], blamed: [], released: [] };
    }
    const clears = [...this.#reports.values()].map((report) => ({
      ...report,
      prompts: [],
      provenBefore: [],
      cleared: report.prompts.flat().filter((part) => open.has(part)),
    }));
    return this.merge(clears.filter(({ cleared }) => cleared.length > 0));
  }

  /** Takes over reports of this node or of a peer, adding which of their parts this node has seen answered. */
  merge(reports: readonly CrashReport[]): QuarantineChange {
    const expiredMs = this.#options.clock.nowMs() - EVIDENCE_MS;
    const news = reports
      .filter(({ atMs, run }) => atMs > expiredMs && !this.#forgottenRuns.has(run))
      .flatMap((report) => {
        const provenHere = report.prompts.flat().filter((part) => this.#proven.has(part));
        const provenBefore = [...report.provenBefore, ...provenHere];
        const known = this.#reports.get(report.run);
        const merged = mergeCrashReports(known, { ...report, provenBefore });
        this.#reports.set(report.run, merged.report);
        return merged.news === undefined ? [] : [merged.news];
      });
    if (news.length > 0) {
      this.#evictReports(expiredMs);
    }
    return news.length === 0 ? { news, blamed: [], released: [] } : { news, ...this.#judge() };
  }

  /** Decides on a request by its shared parts; a trial starts with this call. */
  admit(parts: readonly string[]): QuarantineDecision {
    const nowMs = this.#options.clock.nowMs();
    const blamed = parts.flatMap((part) => this.#verdicts.get(part) ?? []);
    if (blamed.length === 0) {
      return { type: 'allowed' };
    }
    const waits = blamed
      .map((verdict) => ({ ...verdict, retryAfterMs: this.#computeWaitMs(verdict, nowMs) }))
      .sort((a, b) => b.retryAfterMs - a.retryAfterMs);
    if (waits[0].retryAfterMs > 0) {
      const { part, crashes, retryAfterMs } = waits[0];
      return { type: 'held', part, crashes, retryAfterMs };
    }
    const trials = blamed.map(({ part }) => ({ part, startedAtMs: nowMs }));
    trials.forEach((trial) => this.recordTrial(trial));
    return { type: 'trial', trials };
  }

  /** Records the start of a test at this node or at a peer; returns whether it was not known. */
  recordTrial({ part, startedAtMs }: PartTrial): boolean {
    const known = this.#trials.get(part) ?? -Infinity;
    // The age of a test that was passed on is inexact; a test that really is later follows after TRIAL_MS at least.
    if (startedAtMs < known + TRIAL_MS / 2) {
      return false;
    }
    this.#trials.delete(part);
    this.#trials.set(part, startedAtMs);
    evictOldest(this.#trials, MAX_TRIALS);
    return true;
  }

  /** How long the part is still held, apart from the order in which nodes may test it; 0 when a test is due. */
  computeHoldMs(part: string): number {
    const verdict = this.#verdicts.get(part);
    const nowMs = this.#options.clock.nowMs();
    return verdict === undefined ? 0 : Math.max(0, this.#findHoldEndMs(verdict) - nowMs);
  }

  /** The reports that still suspect a part, without the requests that are cleared; those that led to verdicts first. */
  listOpenReports(): readonly CrashReport[] {
    return [...this.#reports.values()]
      .map((report) => ({ ...report, prompts: listOpenPrompts(report) }))
      .filter(({ prompts }) => prompts.length > 0)
      .map((report) => ({
        report,
        isDecisive: report.prompts.flat().some((part) => this.#verdicts.has(part)),
      }))
      .sort((a, b) => Number(b.isDecisive) - Number(a.isDecisive) || b.report.atMs - a.report.atMs)
      .map(({ report }) => {
        const parts = new Set(report.prompts.flat());
        return {
          ...report,
          provenBefore: report.provenBefore.filter((part) => parts.has(part)),
          cleared: report.cleared.filter((part) => parts.has(part)),
        };
      });
  }

  #findHoldEndMs({ part, repeats, lastCrashAtMs }: PartVerdict): number {
    const holdMs = HOLD_MS[Math.min(repeats, HOLD_MS.length - 1)];
    return Math.max(lastCrashAtMs + holdMs, (this.#trials.get(part) ?? -Infinity) + TRIAL_MS);
  }

  #computeWaitMs(verdict: PartVerdict, nowMs: number): number {
    const overdueMs = nowMs - this.#findHoldEndMs(verdict);
    if (overdueMs < 0) {
      return -overdueMs;
    }
    const nodesAllowed = 2 ** (overdueMs / TURN_MS);
    return this.#options.countNodesAhead(verdict.part) < nodesAllowed ? 0 : TURN_MS;
  }

  #judge(): Pick<QuarantineChange, 'blamed' | 'released'> {
    const before = this.#verdicts;
    const reports = [...this.#reports.values()];
    const verdicts = new Map(judgeParts(reports).map((verdict) => [verdict.part, verdict]));
    this.#verdicts = verdicts;
    this.#openParts = new Set(
      reports.flatMap(({ prompts, cleared }) => {
        const done = new Set(cleared);
        return prompts.flat().filter((part) => !done.has(part));
      }),
    );
    return {
      blamed: [...verdicts.values()].filter(
        ({ part, crashes }) => before.get(part)?.crashes !== crashes,
      ),
      released: [...before.keys()].filter((part) => !verdicts.has(part)),
    };
  }

  /** Drops expired reports, and beyond the limit those that suspect nothing any more, then the oldest. */
  #evictReports(expiredMs: number): void {
    const reports = [...this.#reports.values()];
    const expired = reports.filter(({ atMs }) => atMs <= expiredMs);
    const surplus = reports.length - expired.length - MAX_REPORTS;
    const least =
      surplus <= 0
        ? []
        : reports
            .filter(({ atMs }) => atMs > expiredMs)
            .map((report) => ({ ...report, isOpen: listOpenPrompts(report).length > 0 }))
            .sort((a, b) => Number(a.isOpen) - Number(b.isOpen) || a.atMs - b.atMs)
            .slice(0, surplus);
    [...expired, ...least].forEach(({ run }) => {
      this.#reports.delete(run);
      this.#forgottenRuns.set(run, true);
    });
    evictOldest(this.#forgottenRuns, MAX_FORGOTTEN_RUNS);
  }
}
