/**
 * What this node knows of one endpoint: its declaration, its last load report, what this node has in
 * flight there, and whether it may be given new work.
 */
import type FleetDocument from '@rhubarbcroft/protocol/fleet/FleetDocument';
import RANKS from '@rhubarbcroft/protocol/ranks/RANKS';
import type LoadReport from '@rhubarbcroft/protocol/fleet/LoadReport';
import type EndpointView from '../decisions/EndpointView.js';
import AdaptiveLimit from '../decisions/limits/AdaptiveLimit.js';
import OutlierDetector from '../decisions/limits/OutlierDetector.js';
import type NodePlace from '../membership/NodePlace.js';
import type AttemptFailure from './AttemptFailure.js';
import computeShift from './computeShift.js';
import type SentWork from './SentWork.js';

interface PeerSend {
  readonly rank: number;
  readonly promptTokens: number;
  readonly sentAtMs: number;
}

type Declaration = FleetDocument['endpoints'][number];

const FAILED_READS_TO_SUSPECT = 2;
const INITIAL_SERVICE_LIMIT = 16;
const MAX_SERVICE_LIMIT = 512;
const MAX_PEER_SENDS = 1_024;
/** How long a notice of what a node sent may take to reach its peers. */
const NOTICE_WINDOW_MS = 80;
/** The part of its peers that a node expects to do the same at the same moment. */
const COINCIDENCE = 0.5;
const MAX_REPORT_AGE_MS = 3_600_000;

/** What is taken of an endpoint that has not reported yet. */
const UNREPORTED = {
  role: 'mixed',
  running: 0,
  queuedPromptTokens: RANKS.map(() => 0),
  pendingOutputTokens: 0,
} as const;

export default class EndpointState {
  readonly declaration: Declaration;

  readonly outliers: OutlierDetector;

  readonly limit = new AdaptiveLimit(INITIAL_SERVICE_LIMIT, MAX_SERVICE_LIMIT);

  readonly #inFlight = new Map<string, SentWork>();

  #recent: readonly SentWork[] = [];

  #report: LoadReport | undefined;

  #reportedAtMs = -Infinity;

  #failedReads = 0;

  /** Whether the last read found nobody listening, as against an endpoint that was slow to answer. */
  #isDown = false;

  #shift = 0;

  #othersSent: readonly PeerSend[] = [];

  constructor(declaration: Declaration, nowMs: number) {
    this.declaration = declaration;
    this.outliers = new OutlierDetector(nowMs);
  }

  get report(): LoadReport | undefined {
    return this.#report;
  }

  get reportedAtMs(): number {
    return this.#reportedAtMs;
  }

  get inFlight(): readonly SentWork[] {
    return [...this.#inFlight.values()];
  }

  /** Takes a report unless a later one is known. */
  offerReport(report: LoadReport, nowMs: number): void {
    const describedAtMs = nowMs - report.ageMs;
    this.#failedReads = 0;
    this.#isDown = false;
    if (describedAtMs < this.#reportedAtMs) {
      return;
    }
    if (this.#report !== undefined && this.#report.bootId !== report.bootId) {
      this.outliers.restart(nowMs);
    }
    this.#report = report;
    this.#shift = computeShift(report);
    this.#reportedAtMs = describedAtMs;
    this.#recent = this.#recent.filter((sent) => sent.sentAtMs > describedAtMs);
    this.#othersSent = this.#othersSent.filter((sent) => sent.sentAtMs > describedAtMs);
  }

  /** Counts work that a peer has sent, until a report describes it. */
  recordPeerSend(send: PeerSend): void {
    if (send.sentAtMs > this.#reportedAtMs) {
      this.#othersSent = [...this.#othersSent, send].slice(-MAX_PEER_SENDS);
    }
  }

  recordFailedRead({ kind }: AttemptFailure): void {
    this.#failedReads += 1;
    this.#isDown = kind === 'unsent';
  }

  begin(sent: SentWork): void {
    this.#inFlight.set(sent.attemptId, sent);
    this.#recent = [...this.#recent, sent];
  }

  end(attemptId: string): void {
    this.#inFlight.delete(attemptId);
    this.#recent = this.#recent.filter((sent) => sent.attemptId !== attemptId);
  }

  get reachable(): boolean {
    return this.#failedReads < FAILED_READS_TO_SUSPECT;
  }

  createView(nowMs: number, leaving: boolean, place: NodePlace): EndpointView {
    const { id, domain, region, slots, prefillTokensPerS, decodeTokensPerS, kind } =
      this.declaration;
    const report = this.#report ?? UNREPORTED;
    const available = !leaving && this.#isFit(nowMs);
    return {
      id,
      domain,
      region,
      role: report.role,
      slots: kind === 'service' ? this.limit.limit : (this.#report?.slots ?? slots),
      prefillTokensPerS: this.#report?.prefillTokensPerS ?? prefillTokensPerS,
      decodeTokensPerS,
      reportedRunning: report.running,
      reportedPromptTokens: report.queuedPromptTokens,
      reportedOutputTokens: report.pendingOutputTokens,
      reportAgeMs: Math.max(0, Math.min(nowMs - this.#reportedAtMs, MAX_REPORT_AGE_MS)),
      unseenRequests: this.#countUnseen(nowMs, place.count),
      unseenPromptTokens: this.#sumUnseen(nowMs, place.count),
      ownRequests: this.#inFlight.size,
      rampFraction: this.outliers.readRamp(nowMs),
      available,
      nodesAhead: (place.index + this.#shift) % place.count,
    };
  }

  /** What this node sent so lately that its peers may have sent the same without a notice of it yet. */
  #listJustSent(nowMs: number): readonly SentWork[] {
    if (this.#recent.length === 0) {
      return this.#recent;
    }
    return this.#recent.filter((sent) => nowMs - sent.sentAtMs < NOTICE_WINDOW_MS);
  }

  #countUnseen(nowMs: number, nodes: number): number {
    const coinciding = this.#listJustSent(nowMs).length * (nodes - 1) * COINCIDENCE;
    return this.#recent.length + this.#othersSent.length + coinciding;
  }

  #sumUnseen(nowMs: number, nodes: number): readonly number[] {
    if (this.#recent.length === 0 && this.#othersSent.length === 0) {
      return UNREPORTED.queuedPromptTokens;
    }
    const sums = RANKS.map(() => 0);
    [...this.#recent, ...this.#othersSent].forEach(({ rank, promptTokens }) => {
      sums[rank] += promptTokens;
    });
    this.#listJustSent(nowMs).forEach(({ rank, promptTokens }) => {
      sums[rank] += promptTokens * (nodes - 1) * COINCIDENCE;
    });
    return sums;
  }

  /** Whether only silence or earlier failures speak against the endpoint: it may still take work. */
  get isOnlySuspect(): boolean {
    return !this.#isChanging && !this.#isDown;
  }

  get #isChanging(): boolean {
    return this.#report?.changing === true || this.#report?.leaving === true;
  }

  #isFit(nowMs: number): boolean {
    return !this.#isChanging && this.reachable && !this.outliers.isEjected(nowMs);
  }
}
