/**
 * The quarantine of this node: passes on what it learns to the peers, logs its verdicts, and interrupts the requests
 * that wait for a first event when they or one of their prompt parts have just been blamed.
 */
import type CrashReport from '../decisions/poison/CrashReport.js';
import isRequestKey from '../decisions/poison/isRequestKey.js';
import PartQuarantine from '../decisions/poison/PartQuarantine.js';
import type PartTrial from '../decisions/poison/PartTrial.js';
import type QuarantineChange from '../decisions/poison/QuarantineChange.js';
import type QuarantineDecision from '../decisions/poison/QuarantineDecision.js';
import EvidenceExchange from '../gossip/EvidenceExchange.js';
import type InstanceState from '../instances/InstanceState.js';
import CrashReporter from './CrashReporter.js';
import type CrashSuspects from './CrashSuspects.js';
import type ForwardContext from './ForwardContext.js';

interface QuarantineKeeperOptions {
  /** The number of live nodes that come before this one in the order in which nodes may test the part. */
  readonly countNodesAhead: (part: string) => number;
  /** Whether a new connection to the address is refused. */
  readonly isRefused: (address: string) => Promise<boolean>;
}

/** Enough for the crashes that led to a verdict, in a frame of a few KB. */
const MAX_REPEATED_REPORTS = 8;
const MAX_REPEATED_PROMPTS = 64;
/** By this time the reports of all nodes about one crash have arrived, also from other regions. */
const SETTLE_MS = 100;

type Interrupt = (suspect: string) => void;

function contains(suspects: CrashSuspects, suspect: string): boolean {
  return isRequestKey(suspect) ? suspects.requestKey === suspect : suspects.parts.includes(suspect);
}

export default class QuarantineKeeper extends EvidenceExchange {
  readonly #context: ForwardContext;

  readonly #quarantine: PartQuarantine;

  readonly #crashes: CrashReporter;

  /** The requests that wait for their first event. */
  readonly #waiting = new Map<Interrupt, CrashSuspects>();

  constructor(context: ForwardContext, { countNodesAhead, isRefused }: QuarantineKeeperOptions) {
    super();
    this.#context = context;
    this.#quarantine = new PartQuarantine({ clock: context.clock, countNodesAhead });
    this.#crashes = new CrashReporter(context, {
      isRefused,
      recordCrash: (run, prompts) => this.#apply(this.#quarantine.recordCrash(run, prompts)),
    });
  }

  /** Records that a connection broke before the first event of a request. */
  recordBreak(target: InstanceState, suspects: CrashSuspects): void {
    this.#crashes.recordBreak(target, suspects.all);
  }

  recordAnswer(suspects: CrashSuspects): void {
    this.#apply(this.#quarantine.recordAnswer(suspects.parts));
    if (this.#quarantine.hasOpenReports) {
      this.#apply(this.#quarantine.clear([suspects.requestKey]));
    }
  }

  /** Decides on a request; when it is a trial, the peers are told. */
  admit(suspects: CrashSuspects): QuarantineDecision {
    if (this.#quarantine.verdicts.length === 0) {
      return { type: 'allowed' };
    }
    const decision = this.#quarantine.admit(suspects.all);
    if (decision.type === 'trial') {
      decision.trials.forEach((trial) => this.#context.notifyPeers({ type: 'trial', trial }));
    }
    return decision;
  }

  /** Calls `interrupt` when the request or one of its parts is blamed, until the returned function is called. */
  watch(suspects: CrashSuspects, interrupt: Interrupt): () => void {
    this.#waiting.set(interrupt, suspects);
    return () => this.#waiting.delete(interrupt);
  }

  override merge(reports: readonly CrashReport[], trials: readonly PartTrial[]): void {
    this.#apply(this.#quarantine.merge(reports));
    trials
      .filter((trial) => this.#quarantine.recordTrial(trial))
      .forEach((trial) => this.#context.notifyPeers({ type: 'trial', trial }));
  }

  override listReports(): readonly CrashReport[] {
    const reports = this.#quarantine.listOpenReports().slice(0, MAX_REPEATED_REPORTS);
    let prompts = 0;
    // The most important report is repeated whatever its size.
    return reports.filter((report) => {
      const hasRoom = prompts < MAX_REPEATED_PROMPTS;
      prompts += report.prompts.length;
      return hasRoom;
    });
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

  /** Interrupts the requests that wait with a blamed suspect, once the reports of other nodes confirm the verdict. */
  async #interruptWaiting(suspect: string): Promise<void> {
    await this.#context.clock.sleep(SETTLE_MS);
    if (this.#quarantine.isBlamed(suspect)) {
      this.#waiting.forEach((suspects, interrupt) => {
        if (contains(suspects, suspect)) {
          interrupt(suspect);
        }
      });
    }
  }

  #apply({ news, blamed, released }: QuarantineChange): void {
    const { notifyPeers, log, metrics } = this.#context;
    news.forEach((report) => notifyPeers({ type: 'crash', report }));
    blamed.forEach(({ part, crashes }) => {
      const holdMs = Math.round(this.#quarantine.computeHoldMs(part));
      log.warn({ part, crashes, holdMs }, 'quarantined: endpoints crash that run it');
      void this.#interruptWaiting(part);
    });
    released.forEach((part) =>
      log.info({ part }, 'released: an answer began on it, or something else crashes endpoints'),
    );
    if (blamed.length + released.length > 0) {
      metrics.gauge('quarantined_parts', this.#quarantine.verdicts.length);
    }
  }
}
