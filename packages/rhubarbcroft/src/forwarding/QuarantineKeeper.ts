/**
 * The quarantine of this node: passes on what it learns to the peers, logs its verdicts, and interrupts the requests
 * that wait for a first event with a part that has just been blamed.
 */
import type CrashReport from '../decisions/poison/CrashReport.js';
import PartQuarantine from '../decisions/poison/PartQuarantine.js';
import type PartTrial from '../decisions/poison/PartTrial.js';
import type QuarantineChange from '../decisions/poison/QuarantineChange.js';
import type QuarantineDecision from '../decisions/poison/QuarantineDecision.js';
import EvidenceExchange from '../gossip/EvidenceExchange.js';
import type InstanceState from '../instances/InstanceState.js';
import CrashReporter from './CrashReporter.js';
import type ForwardContext from './ForwardContext.js';

interface QuarantineKeeperOptions {
  /** The number of live nodes that come before this one in the order in which nodes may test the part. */
  readonly countNodesAhead: (part: string) => number;
  /** Whether a new connection to the address is refused. */
  readonly isRefused: (address: string) => Promise<boolean>;
}

/** Enough for the crashes that led to a verdict, in a frame of a few KB. */
const MAX_REPEATED_REPORTS = 8;
/** By this time the reports of all nodes about one crash have arrived, also from other regions. */
const SETTLE_MS = 100;

type Interrupt = (part: string) => void;

export default class QuarantineKeeper extends EvidenceExchange {
  readonly #context: ForwardContext;

  readonly #quarantine: PartQuarantine;

  readonly #crashes: CrashReporter;

  /** The requests that wait for their first event, by part. */
  readonly #waiting = new Map<string, ReadonlySet<Interrupt>>();

  constructor(context: ForwardContext, { countNodesAhead, isRefused }: QuarantineKeeperOptions) {
    super();
    this.#context = context;
    this.#quarantine = new PartQuarantine({ clock: context.clock, countNodesAhead });
    this.#crashes = new CrashReporter(context, {
      isRefused,
      recordCrash: (run, prompts) => this.#apply(this.#quarantine.recordCrash(run, prompts)),
    });
  }

  /** Records that a connection broke before the first event of a request with these parts. */
  recordBreak(target: InstanceState, parts: readonly string[]): void {
    this.#crashes.recordBreak(target, parts);
  }

  recordAnswer(parts: readonly string[]): void {
    this.#apply(this.#quarantine.recordAnswer(parts));
  }

  /** Decides on a request; when it is a trial, the peers are told. */
  admit(parts: readonly string[]): QuarantineDecision {
    const decision = this.#quarantine.admit(parts);
    if (decision.type === 'trial') {
      decision.trials.forEach((trial) => this.#context.notifyPeers({ type: 'trial', trial }));
    }
    return decision;
  }

  /** Calls `interrupt` when one of the parts is blamed, until the returned function is called. */
  watch(parts: readonly string[], interrupt: Interrupt): () => void {
    parts.forEach((part) => {
      this.#waiting.set(part, new Set([...(this.#waiting.get(part) ?? []), interrupt]));
    });
    return () => parts.forEach((part) => this.#unwatch(part, interrupt));
  }

  override merge(reports: readonly CrashReport[], trials: readonly PartTrial[]): void {
    this.#apply(this.#quarantine.merge(reports));
    trials
      .filter((trial) => this.#quarantine.recordTrial(trial))
      .forEach((trial) => this.#context.notifyPeers({ type: 'trial', trial }));
  }

  override listReports(): readonly CrashReport[] {
    return this.#quarantine.listOpenReports().slice(0, MAX_REPEATED_REPORTS);
  }

  override dumpState(): unknown {
    return {
      parts: this.#quarantine.verdicts.map(({ part, crashes }) => ({
        part,
        crashes,
        holdMs: Math.round(this.#quarantine.computeHoldMs(part)),
      })),
      crashes: this.#quarantine.listOpenReports(),
    };
  }

  #unwatch(part: string, interrupt: Interrupt): void {
    const left = new Set(this.#waiting.get(part));
    left.delete(interrupt);
    if (left.size === 0) {
      this.#waiting.delete(part);
    } else {
      this.#waiting.set(part, left);
    }
  }

  /** Interrupts the requests that wait with a blamed part, once the reports of other nodes confirm the verdict. */
  async #interruptWaiting(part: string): Promise<void> {
    await this.#context.clock.sleep(SETTLE_MS);
    if (this.#quarantine.isBlamed(part)) {
      this.#waiting.get(part)?.forEach((interrupt) => interrupt(part));
    }
  }

  #apply({ news, blamed, released }: QuarantineChange): void {
    const { notifyPeers, log, metrics } = this.#context;
    news.forEach((report) => notifyPeers({ type: 'crash', report }));
    blamed.forEach(({ part, crashes }) => {
      const holdMs = Math.round(this.#quarantine.computeHoldMs(part));
      log.warn({ part, crashes, holdMs }, 'prompt part quarantined: engines crash that answer it');
      void this.#interruptWaiting(part);
    });
    released.forEach((part) =>
      log.info(
        { part },
        'prompt part released: an answer began on it, or another part crashes engines',
      ),
    );
    if (blamed.length + released.length > 0) {
      metrics.gauge('quarantined_parts', this.#quarantine.verdicts.length);
    }
  }
}
