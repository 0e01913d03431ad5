/** Records what callers and replicas observe in one run of the soak, and finds violated guarantees in it. */
import type AnswerRecord from './AnswerRecord.js';
import type Disturbances from './Disturbances.js';
import PoisonEvidence from './PoisonEvidence.js';
import type RunRecord from './RunRecord.js';
import SOAK_GUARANTEES from './SOAK_GUARANTEES.js';
import createExpectedBody from './createExpectedBody.js';

/** Statuses that guarantee that a request was not executed and never will be. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** Statuses that replace an answer, other than those above and the one for the end of the route's time-out. */
const FAILURE_STATUSES = new Set([500, 502]);
/** The caller's error for a request that was never sent. */
const CONNECTION_REFUSED = 'ECONNREFUSED';
/** Paths of requests that must be executed at most once. */
const AT_MOST_ONCE = /^\/(book|verdict)\//;

export default class Evidence {
  readonly poison: PoisonEvidence;

  readonly #disturbances: Disturbances;

  /** Time-outs that the routes had. */
  readonly #routeTimeoutsMs: number[] = [];

  readonly #runs: RunRecord[] = [];

  readonly #answers: AnswerRecord[] = [];

  /** When the store accepted a replica's report that it is leaving, by replica id. */
  readonly #leavingAtMs = new Map<string, number>();

  /** The holders that sent orders to each incarnation of a replica, one item for each order. */
  readonly #holders = new Map<string, readonly string[]>();

  constructor(disturbances: Disturbances) {
    this.#disturbances = disturbances;
    this.poison = new PoisonEvidence(disturbances);
  }

  recordRouteTimeout(timeoutMs: number): void {
    this.#routeTimeoutsMs.push(timeoutMs);
  }

  recordRun(run: RunRecord): void {
    this.#runs.push(run);
  }

  recordAnswer(answer: AnswerRecord): void {
    this.#answers.push(answer);
  }

  recordLeaving(replicaId: string): void {
    this.#leavingAtMs.set(replicaId, performance.now());
  }

  recordOrder(replicaId: string, holder: string): void {
    this.#holders.set(replicaId, [...(this.#holders.get(replicaId) ?? []), holder]);
  }

  countAnswers(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    this.#answers.forEach(({ status, isComplete }) => {
      const key = status === undefined ? 'closed' : `${status}${isComplete ? '' : ' cut'}`;
      counts[key] = (counts[key] ?? 0) + 1;
    });
    return counts;
  }

  /** The share of the requests sent since a time that were answered with a complete 200 response. */
  computeServedShare(fromMs: number): number {
    const recent = this.#answers.filter(({ sentAtMs }) => sentAtMs >= fromMs);
    const served = recent.filter(({ status, isComplete }) => status === 200 && isComplete);
    return recent.length === 0 ? 0 : served.length / recent.length;
  }

  /** Returns one line for each violated guarantee. */
  findViolations(): readonly string[] {
    const runsById = new Map<string, RunRecord[]>();
    this.#runs.forEach((run) => {
      runsById.set(run.requestId, [...(runsById.get(run.requestId) ?? []), run]);
    });
    const sentIds = new Set(this.#answers.map(({ requestId }) => requestId));
    return [
      ...this.#answers.flatMap((answer) =>
        this.#checkAnswer(answer, runsById.get(answer.requestId) ?? []),
      ),
      ...[...runsById].flatMap(([id, runs]) => Evidence.#checkRuns(id, runs, sentIds)),
      ...this.#runs.flatMap((run) => this.#checkLeaving(run)),
      ...this.poison.findViolations(this.#answers),
      ...[...this.#holders]
        .filter(([, holders]) => holders.length > 1)
        .map(
          ([id, holders]) =>
            `${id} received ${holders.length} orders, at most 1 expected: ${holders.join(', ')}`,
        ),
    ];
  }

  #checkAnswer(answer: AnswerRecord, runs: readonly RunRecord[]): readonly string[] {
    const { requestId, path, status, signature, body, isComplete, node } = answer;
    const name = `${requestId} ${path} at ${node}`;
    const violations: string[] = [];
    const expectedBody = createExpectedBody(path, requestId);
    const isExpected = isComplete ? body === expectedBody : expectedBody.startsWith(body);
    if (status === 200 && (!isExpected || signature !== `seal-${requestId}`)) {
      violations.push(
        `${name}: status 200 with a body or seal of another or truncated answer: ${body.slice(-80)}`,
      );
    }
    if (AT_MOST_ONCE.test(path) && NOT_RUN_STATUSES.has(status ?? 0) && runs.length > 0) {
      violations.push(
        `${name}: answered ${status} (not executed), but ran at ${runs[0].replicaId}`,
      );
    }
    return [
      ...violations,
      ...this.#checkEnd(name, answer, runs.length > 0),
      ...(runs.length > 0 ? [] : this.#checkUnserved(name, answer)),
    ];
  }

  /** Checks that a request ended in time and with an answer, unless its node or a replica was disturbed. */
  #checkEnd(name: string, answer: AnswerRecord, hasRun: boolean): readonly string[] {
    const { node, sentAtMs, status, isComplete, errorCode } = answer;
    const maxMs = Math.max(...this.#routeTimeoutsMs) + SOAK_GUARANTEES.answerSlackMs;
    const violations: string[] = [];
    const span = { fromMs: sentAtMs, untilMs: answer.endedAtMs };
    const isNodeUndisturbed = this.#disturbances.wasUndisturbed(node, span);
    const tookMs = answer.endedAtMs - sentAtMs;
    if (isNodeUndisturbed && tookMs > maxMs) {
      violations.push(`${name}: ended after ${Math.round(tookMs)} ms, later than ${maxMs} ms`);
    }
    const wasCut = status === undefined || (status === 200 && !isComplete);
    const isUndisturbed = isNodeUndisturbed && this.#disturbances.wasUndisturbed('replicas', span);
    if (isUndisturbed && FAILURE_STATUSES.has(status ?? 0)) {
      violations.push(
        `${name}: answered ${status}, but neither its node nor a replica was disturbed`,
      );
    }
    // At the time-out of its route, a request ends with what it has: a replica may fall silent twice in a row.
    const hasTimedOut = tookMs >= Math.min(...this.#routeTimeoutsMs);
    if (isUndisturbed && wasCut && hasRun && !hasTimedOut) {
      violations.push(
        `${name}: cut (${errorCode}) after ${Math.round(tookMs)} ms and ${answer.body.length} bytes, but neither its node nor a replica was disturbed`,
      );
    }
    return violations;
  }

  /** Checks that a request that reached no replica did not wait on a connection that ended without an answer. */
  #checkUnserved(
    name: string,
    { node, sentAtMs, endedAtMs, status, errorCode }: AnswerRecord,
  ): readonly string[] {
    const tookMs = endedAtMs - sentAtMs;
    const span = { fromMs: sentAtMs, untilMs: endedAtMs };
    return status === undefined &&
      errorCode !== CONNECTION_REFUSED &&
      tookMs > SOAK_GUARANTEES.lossSlackMs &&
      this.#disturbances.wasUndisturbed(node, span)
      ? [
          `${name}: its connection ended without an answer (${errorCode}) ${Math.round(tookMs)} ms after it was sent`,
        ]
      : [];
  }

  static #checkRuns(
    id: string,
    runs: readonly RunRecord[],
    sentIds: ReadonlySet<string>,
  ): readonly string[] {
    const [{ path, replicaId }] = runs;
    const violations: string[] = [];
    if (!sentIds.has(id)) {
      violations.push(`${id} ran at ${replicaId}, but no caller sent it`);
    }
    if (AT_MOST_ONCE.test(path) && runs.length > 1) {
      violations.push(`${id} ${path} ran ${runs.length} times, at most 1 allowed`);
    }
    if (runs.some(({ hasForgedHeader: isForged }) => isForged)) {
      violations.push(`${id} reached ${replicaId} with a header that only the system may set`);
    }
    return violations;
  }

  #checkLeaving({ requestId, replicaId, atMs }: RunRecord): readonly string[] {
    const { leavingMs, contactMs } = SOAK_GUARANTEES;
    const leftAtMs = this.#leavingAtMs.get(replicaId) ?? Infinity;
    const isLate = atMs > leftAtMs + leavingMs;
    const span = { fromMs: leftAtMs - contactMs, untilMs: atMs };
    const isUndisturbed = ['store', 'nodes'].every((name) =>
      this.#disturbances.wasUndisturbed(name, span),
    );
    return isLate && isUndisturbed
      ? [
          `${requestId} ran at ${replicaId} ${Math.round(atMs - leftAtMs)} ms after it reported that it is leaving, later than ${leavingMs} ms`,
        ]
      : [];
  }
}
