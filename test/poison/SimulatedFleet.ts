/**
 * Several nodes with a quarantine each, in front of engines that crash when they begin to answer a prompt with one
 * part, on a virtual clock. Crash reports reach the other nodes late, and one node is cut off from them for a time.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type CrashReport from 'rhubarbcroft/decisions/poison/CrashReport';
import PartQuarantine from 'rhubarbcroft/decisions/poison/PartQuarantine';
import type PartTrial from 'rhubarbcroft/decisions/poison/PartTrial';
import type QuarantineChange from 'rhubarbcroft/decisions/poison/QuarantineChange';
import VirtualClock from '../support/VirtualClock.js';

interface Scenario {
  readonly seed: number;
  readonly durationMs: number;
  /** Requests with the poisonous part come between these times. */
  readonly poisonFromMs: number;
  readonly poisonUntilMs: number;
  readonly poisonShare: number;
  readonly poisonPrompt: readonly string[];
  readonly poisonPart: string;
  /** Mean time between crashes that no request causes. */
  readonly otherCrashPeriodMs: number;
}

interface Waiting {
  readonly node: number;
  readonly parts: readonly string[];
  readonly isTrial: boolean;
  readonly isRepeat: boolean;
  readonly sentAtMs: number;
}

interface Outcome {
  /** Crashes by the poisonous part. */
  readonly crashes: number;
  /** Dispatches of it by nodes in touch, later than the contact time after the fifth crash. */
  readonly lateDispatches: number;
  /** How often sound requests with the same first part began at the first attempt while the part was held, in percent. */
  readonly companionsBegunPercent: number;
  readonly soundRefused: number;
  /** Sound parts that are still blamed at the end. */
  readonly soundBlamed: number;
}

interface Engine {
  readonly id: number;
  run: number;
  upAtMs: number;
  readonly waiting: Set<Waiting>;
}

const NODES = 6;
const ENGINES = 8;
const REQUESTS_PER_S = 20;
const FIRST_PARTS = 60;
const CONTACT_MS = 4_000;
const DOWN_MS = 3_300;
const CUT_NODE = 0;
const CUT = { fromMs: 12_000, untilMs: 24_000 };

export default class SimulatedFleet {
  readonly #scenario: Scenario;

  readonly #clock = new VirtualClock();

  readonly #random: () => number;

  readonly #nodes: readonly PartQuarantine[];

  readonly #engines: readonly Engine[] = Array.from({ length: ENGINES }, (_unused, id) => ({
    id,
    run: 0,
    upAtMs: 0,
    waiting: new Set(),
  }));

  /** What happens in each millisecond. */
  readonly #events = new Map<number, readonly (() => void)[]>();

  #poisonCrashesMs: number[] = [];

  readonly #companions: { readonly atMs: number; hasBegun: boolean }[] = [];

  #lateDispatches = 0;

  #soundRefused = 0;

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
    const generator = xoroshiro128plus(scenario.seed);
    this.#random = () => uniformFloat64(generator);
    this.#nodes = Array.from(
      { length: NODES },
      (_unused, node) =>
        new PartQuarantine({
          clock: this.#clock,
          countNodesAhead: (part) => (node + part.length) % NODES,
        }),
    );
  }

  run(): Outcome {
    const { durationMs, otherCrashPeriodMs } = this.#scenario;
    for (let atMs = 0; atMs < durationMs; atMs += 1_000 / REQUESTS_PER_S) {
      this.#schedule(atMs, () => this.#arrive());
    }
    for (let atMs = 0; atMs < durationMs; atMs += 1_000) {
      this.#schedule(atMs, () => this.#repeatEvidence(atMs / 1_000));
    }
    for (let atMs = 2_000; atMs < durationMs; atMs += 2 * this.#random() * otherCrashPeriodMs) {
      this.#schedule(atMs, () => this.#crash(this.#engines[Math.floor(this.#random() * ENGINES)]));
    }
    for (let atMs = 0; atMs < durationMs; atMs += 1) {
      this.#clock.timeMs = atMs;
      this.#events.get(atMs)?.forEach((act) => act());
      this.#events.delete(atMs);
    }
    return this.#summarise();
  }

  #schedule(atMs: number, act: () => void): void {
    const ms = Math.ceil(atMs);
    this.#events.set(ms, [...(this.#events.get(ms) ?? []), act]);
  }

  #later(delayMs: number, act: () => void): void {
    this.#schedule(this.#clock.nowMs() + Math.max(1, delayMs), act);
  }

  #isCut(node: number, withinMs = 0): boolean {
    const nowMs = this.#clock.nowMs();
    return node === CUT_NODE && nowMs >= CUT.fromMs && nowMs < CUT.untilMs + withinMs;
  }

  #arrive(): void {
    const { poisonFromMs, poisonUntilMs, poisonShare, poisonPrompt } = this.#scenario;
    const nowMs = this.#clock.nowMs();
    const isPoisonTime = nowMs >= poisonFromMs && nowMs < poisonUntilMs;
    const isPoison = isPoisonTime && this.#random() < poisonShare;
    const first = `first-${Math.floor(this.#random() ** 2 * FIRST_PARTS)}`;
    const sound =
      this.#random() < 0.5 ? [first] : [first, `second-${Math.floor(this.#random() * 100)}`];
    const node = Math.floor(this.#random() * NODES);
    this.#dispatch(node, isPoison ? poisonPrompt : sound, false);
  }

  #dispatch(node: number, parts: readonly string[], isRepeat: boolean): void {
    const { poisonPrompt, poisonPart, poisonFromMs } = this.#scenario;
    const nowMs = this.#clock.nowMs();
    const isPoison = nowMs >= poisonFromMs && parts.includes(poisonPart);
    const isCompanion = !isPoison && !isRepeat && parts[0] === poisonPrompt[0];
    if (isCompanion) {
      this.#companions.push({ atMs: nowMs, hasBegun: false });
    }
    const companion = isCompanion ? this.#companions.at(-1) : undefined;
    const decision = this.#nodes[node].admit(parts);
    if (decision.type === 'held') {
      this.#soundRefused += isPoison ? 0 : 1;
      return;
    }
    if (decision.type === 'trial') {
      this.#tellTrials(node, decision.trials);
    }
    const up = this.#engines.filter(({ upAtMs }) => upAtMs <= nowMs);
    if (up.length === 0) {
      return;
    }
    const engine = up[Math.floor(this.#random() * up.length)];
    const isLate = nowMs > (this.#poisonCrashesMs[4] ?? Infinity) + CONTACT_MS;
    this.#lateDispatches += isPoison && isLate && !this.#isCut(node, CONTACT_MS) ? 1 : 0;
    const isTrial = decision.type === 'trial';
    const waiting = { node, parts, isTrial, isRepeat, sentAtMs: nowMs };
    engine.waiting.add(waiting);
    this.#later(300 + this.#random() * 600, () => {
      if (!engine.waiting.delete(waiting)) {
        return;
      }
      if (isPoison) {
        engine.waiting.add(waiting);
        this.#poisonCrashesMs.push(this.#clock.nowMs());
        this.#crash(engine);
        return;
      }
      if (companion !== undefined) {
        companion.hasBegun = true;
      }
      this.#apply(node, this.#nodes[node].recordAnswer(parts));
    });
  }

  #crash(engine: Engine): void {
    const cut = [...engine.waiting];
    const run = `engine-${engine.id}@${engine.run}`;
    Object.assign(engine, { run: engine.run + 1, upAtMs: this.#clock.nowMs() + DOWN_MS });
    engine.waiting.clear();
    this.#nodes.forEach((quarantine, node) => {
      const own = cut.filter((waiting) => waiting.node === node);
      if (own.length > 0) {
        this.#later(20 + this.#random() * 110, () => {
          this.#apply(
            node,
            quarantine.recordCrash(
              run,
              own.map(({ parts }) => parts),
            ),
          );
          own
            .filter(({ isRepeat }) => !isRepeat)
            .forEach(({ parts }) => this.#dispatch(node, parts, true));
        });
      }
    });
  }

  #apply(node: number, { news, blamed }: QuarantineChange): void {
    const blamedParts = new Set(blamed.map(({ part }) => part));
    this.#engines.forEach(({ waiting }) =>
      waiting.forEach((request) => {
        if (
          request.node === node &&
          !request.isTrial &&
          request.parts.some((part) => blamedParts.has(part))
        ) {
          waiting.delete(request);
        }
      }),
    );
    if (news.length > 0) {
      this.#nodes.forEach((_quarantine, peer) => this.#tell(node, peer, news));
    }
  }

  #tell(node: number, peer: number, reports: readonly CrashReport[]): void {
    if (peer !== node && !this.#isCut(node) && !this.#isCut(peer)) {
      const aged = reports.map((report) => ({ ...report, atMs: report.atMs + 30 }));
      this.#later(40 + this.#random() * 80, () => this.#apply(peer, this.#nodes[peer].merge(aged)));
    }
  }

  #tellTrials(node: number, trials: readonly PartTrial[]): void {
    this.#nodes.forEach((peer, index) => {
      if (index !== node && !this.#isCut(node) && !this.#isCut(index)) {
        this.#later(40 + this.#random() * 80, () =>
          trials.forEach((trial) => peer.recordTrial(trial)),
        );
      }
    });
  }

  #repeatEvidence(round: number): void {
    this.#nodes.forEach((quarantine, node) =>
      this.#tell(node, (node + 1 + (round % (NODES - 1))) % NODES, quarantine.listOpenReports()),
    );
  }

  #summarise(): Outcome {
    const { poisonUntilMs, poisonPart } = this.#scenario;
    const lastNeededMs = this.#poisonCrashesMs[4] ?? this.#poisonCrashesMs.at(-1) ?? 0;
    const counted = this.#companions.filter(
      ({ atMs }) => atMs > lastNeededMs + 2 * CONTACT_MS && atMs < poisonUntilMs,
    );
    const begun = counted.filter(({ hasBegun }) => hasBegun).length;
    const blamed = this.#nodes.flatMap(({ verdicts }) => verdicts.map(({ part }) => part));
    return {
      crashes: this.#poisonCrashesMs.length,
      lateDispatches: this.#lateDispatches,
      companionsBegunPercent: Math.round((100 * begun) / Math.max(1, counted.length)),
      soundRefused: this.#soundRefused,
      soundBlamed: new Set(blamed.filter((part) => part !== poisonPart)).size,
    };
  }
}
