/**
 * The state of one endpoint on this node: its declaration, its last load report, the requests that this
 * node has in flight there, and whether it may be given new work.
 */
import type FleetDocument from '@rhubarbcroft/protocol/fleet/FleetDocument';
import RANKS from '@rhubarbcroft/protocol/ranks/RANKS';
import type LoadReport from '@rhubarbcroft/protocol/fleet/LoadReport';
import type EndpointView from '../decisions/EndpointView.js';
import AdaptiveLimit from '../decisions/limits/AdaptiveLimit.js';
import OutlierDetector from '../decisions/limits/OutlierDetector.js';
import type DomainPosition from '../membership/DomainPosition.js';
import type AttemptFailure from './AttemptFailure.js';
import computeRotationOffset from './computeRotationOffset.js';
import type DispatchedRequest from './DispatchedRequest.js';

/** A request that a peer dispatched to the endpoint. */
interface PeerDispatch {
  /** The index of the rank, 0 for the most urgent. */
  readonly rank: number;
  readonly promptTokens: number;
  readonly sentAtMs: number;
}

type Declaration = FleetDocument['endpoints'][number];

const FAILED_READS_TO_SUSPECT = 2;
const INITIAL_SERVICE_LIMIT = 16;
const MAX_SERVICE_LIMIT = 512;
const MAX_PEER_DISPATCHES = 1_024;
/** How long the notice of a dispatched request may take to reach the peers. */
const NOTICE_DELAY_MS = 80;
/** The fraction of the peers that are assumed to dispatch a similar request at the same time. */
const SIMULTANEOUS_PEER_FRACTION = 0.5;
const MAX_REPORT_AGE_MS = 3_600_000;

/** Assumed for an endpoint that has not sent a load report yet. */
const DEFAULT_REPORT = {
  role: 'mixed',
  running: 0,
  queuedPromptTokens: RANKS.map(() => 0),
  pendingOutputTokens: 0,
} as const;

export default class EndpointState {
  readonly declaration: Declaration;

  readonly outliers: OutlierDetector;

  readonly limit = new AdaptiveLimit(INITIAL_SERVICE_LIMIT, MAX_SERVICE_LIMIT);

  readonly #inFlight = new Map<string, DispatchedRequest>();

  /** Own requests that the last load report does not include yet. */
  #unreported: readonly DispatchedRequest[] = [];

  #report: LoadReport | undefined;

  #reportedAtMs = -Infinity;

  #failedReads = 0;

  /** Whether the last read of the load failed to connect, as opposed to an endpoint that was slow to answer. */
  #isDown = false;

  #rotationOffset = 0;

  /** Requests of peers that the last load report does not include yet. */
  #peerDispatches: readonly PeerDispatch[] = [];

  constructor(declaration: Declaration, nowMs: number) {
    this.declaration = declaration;
    this.outliers = new OutlierDetector(nowMs);
  }

  get report(): LoadReport | undefined {
    return this.#report;
  }

  /** The time on this node's clock that the last report describes; -Infinity before the first one. */
  get reportedAtMs(): number {
    return this.#reportedAtMs;
  }

  get inFlight(): readonly DispatchedRequest[] {
    return [...this.#inFlight.values()];
  }

  /** Stores a load report unless a later one has arrived already. */
  offerReport(report: LoadReport, nowMs: number): void {
    const describedAtMs = nowMs - report.ageMs;
    this.#failedReads = 0;
    this.#isDown = false;
    if (describedAtMs < this.#reportedAtMs) {
      return;
    }
    if (this.#report !== undefined && this.#report.bootId !== report.bootId) {
      this.outliers.restartRamp(nowMs);
    }
    this.#report = report;
    this.#rotationOffset = computeRotationOffset(report);
    this.#reportedAtMs = describedAtMs;
    this.#unreported = this.#unreported.filter((request) => request.sentAtMs > describedAtMs);
    this.#peerDispatches = this.#peerDispatches.filter(
      (request) => request.sentAtMs > describedAtMs,
    );
  }

  /** Counts a request of a peer until a load report includes it. */
  recordPeerDispatch(dispatch: PeerDispatch): void {
    if (dispatch.sentAtMs > this.#reportedAtMs) {
      this.#peerDispatches = [...this.#peerDispatches, dispatch].slice(-MAX_PEER_DISPATCHES);
    }
  }

  recordFailedRead({ kind }: AttemptFailure): void {
    this.#failedReads += 1;
    this.#isDown = kind === 'unsent';
  }

  beginAttempt(request: DispatchedRequest): void {
    this.#inFlight.set(request.attemptId, request);
    this.#unreported = [...this.#unreported, request];
  }

  endAttempt(attemptId: string): void {
    this.#inFlight.delete(attemptId);
    this.#unreported = this.#unreported.filter((request) => request.attemptId !== attemptId);
  }

  /** False after several failed reads of the load in a row. */
  get reachable(): boolean {
    return this.#failedReads < FAILED_READS_TO_SUSPECT;
  }

  createView(nowMs: number, leaving: boolean, position: DomainPosition): EndpointView {
    const { id, domain, region, slots, prefillTokensPerS, decodeTokensPerS, kind } =
      this.declaration;
    const report = this.#report ?? DEFAULT_REPORT;
    const available = !leaving && this.#isAvailable(nowMs);
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
      unseenRequests: this.#countUnreported(nowMs, position.count),
      unseenPromptTokens: this.#sumUnreportedTokens(nowMs, position.count),
      ownRequests: this.#inFlight.size,
      rampFraction: this.outliers.readRampFraction(nowMs),
      available,
      nodesAhead: (position.index + this.#rotationOffset) % position.count,
    };
  }

  /** Own requests so recent that notices of similar requests of peers may still be on the way. */
  #listLatest(nowMs: number): readonly DispatchedRequest[] {
    if (this.#unreported.length === 0) {
      return this.#unreported;
    }
    return this.#unreported.filter((request) => nowMs - request.sentAtMs < NOTICE_DELAY_MS);
  }

  #countUnreported(nowMs: number, nodeCount: number): number {
    const assumed = this.#listLatest(nowMs).length * (nodeCount - 1) * SIMULTANEOUS_PEER_FRACTION;
    return this.#unreported.length + this.#peerDispatches.length + assumed;
  }

  #sumUnreportedTokens(nowMs: number, nodeCount: number): readonly number[] {
    if (this.#unreported.length === 0 && this.#peerDispatches.length === 0) {
      return DEFAULT_REPORT.queuedPromptTokens;
    }
    const sums = RANKS.map(() => 0);
    [...this.#unreported, ...this.#peerDispatches].forEach(({ rank, promptTokens }) => {
      sums[rank] += promptTokens;
    });
    this.#listLatest(nowMs).forEach(({ rank, promptTokens }) => {
      sums[rank] += promptTokens * (nodeCount - 1) * SIMULTANEOUS_PEER_FRACTION;
    });
    return sums;
  }

  /**
   * Whether the endpoint may be used when its whole group is unavailable: slow answers and an ejection do not
   * rule it out; a failure to connect, a change of role or model, and leaving do.
   */
  get isFallbackCandidate(): boolean {
    return !this.#isChanging && !this.#isDown;
  }

  get #isChanging(): boolean {
    return this.#report?.changing === true || this.#report?.leaving === true;
  }

  #isAvailable(nowMs: number): boolean {
    return !this.#isChanging && this.reachable && !this.outliers.isEjected(nowMs);
  }
}
