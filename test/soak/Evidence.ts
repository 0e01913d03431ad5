/** Records what callers and replicas observe in one run of the soak, and finds violated guarantees in it. */
import type AnswerRecord from './AnswerRecord.js';
import type Disturbances from './Disturbances.js';
import type RunRecord from './RunRecord.js';
import SOAK_GUARANTEES from './SOAK_GUARANTEES.js';
import createExpectedBody from './createExpectedBody.js';

/** Statuses that guarantee that a request was not executed and never will be. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** Paths of requests that must be executed at most once. */
const AT_MOST_ONCE = /^\/(book|verdict)\//;

export default class Evidence {
  readonly #disturbances: Disturbances;

  readonly #runs: RunRecord[] = [];

  readonly #answers: AnswerRecord[] = [];

  /** When the store accepted a replica's report that it is leaving, by replica id. */
  readonly #leavingAtMs = new Map<string, number>();

  /** The holders that sent orders to each incarnation of a replica, one item for each order. */
  readonly #holders = new Map<string, readonly string[]>();

  constructor(disturbances: Disturbances) {
    this.#disturbances = disturbances;
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
    const isExpected = body === createExpectedBody(path, requestId);
    if (status === 200 && isComplete && (!isExpected || signature !== `seal-${requestId}`)) {
      violations.push(
        `${name}: status 200 with a body or seal of another or truncated answer: ${body.slice(0, 80)}`,
      );
    }
    if (AT_MOST_ONCE.test(path) && NOT_RUN_STATUSES.has(status ?? 0) && runs.length > 0) {
      violations.push(
        `${name}: answered ${status} (not executed), but ran at ${runs[0].replicaId}`,
      );
    }
    return [...violations, ...this.#checkEnd(name, answer, runs.length > 0)];
  }

  /** Checks that a request ended in time and was not cut without a disturbance of its node or a replica. */
  #checkEnd(name: string, answer: AnswerRecord, hasRun: boolean): readonly string[] {
    const { node, sentAtMs, status, isComplete } = answer;
    const violations: string[] = [];
    const span = { fromMs: sentAtMs, untilMs: answer.endedAtMs };
    const isNodeUndisturbed = this.#disturbances.wasUndisturbed(node, span);
    const tookMs = answer.endedAtMs - sentAtMs;
    if (
      isNodeUndisturbed &&
      tookMs > SOAK_GUARANTEES.routeTimeoutMs + SOAK_GUARANTEES.answerSlackMs
    ) {
      violations.push(
        `${name}: ended after ${Math.round(tookMs)} ms, later than ${SOAK_GUARANTEES.routeTimeoutMs + SOAK_GUARANTEES.answerSlackMs} ms`,
      );
    }
    const wasCut = status === undefined || (status === 200 && !isComplete);
    if (
      wasCut &&
      hasRun &&
      isNodeUndisturbed &&
      this.#disturbances.wasUndisturbed('replicas', span)
    ) {
      violations.push(`${name}: cut, but neither its node nor a replica was disturbed`);
    }
    return violations;
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
