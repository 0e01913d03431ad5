/** What callers and replicas saw in one run of the soak, and what of it breaks a promise. */
import type AnswerRecord from './AnswerRecord.js';
import type Disturbances from './Disturbances.js';
import type RunRecord from './RunRecord.js';
import SOAK_PROMISES from './SOAK_PROMISES.js';
import createExpectedBody from './createExpectedBody.js';

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** Kinds of request that run once at most. */
const ONCE = /^\/(book|verdict)\//;

export default class Evidence {
  readonly #disturbances: Disturbances;

  readonly #runs: RunRecord[] = [];

  readonly #answers: AnswerRecord[] = [];

  /** When the store acknowledged that a replica leaves. */
  readonly #leavingAtMs = new Map<string, number>();

  /** Who ordered each incarnation of a replica, once for each order. */
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

  /** The share of the requests sent from a moment on that were answered whole. */
  readServedShare(fromMs: number): number {
    const late = this.#answers.filter(({ sentAtMs }) => sentAtMs >= fromMs);
    const served = late.filter(({ status, isComplete }) => status === 200 && isComplete);
    return late.length === 0 ? 0 : served.length / late.length;
  }

  /** One line for each broken promise; empty when all were kept. */
  findBroken(): readonly string[] {
    const runsById = new Map<string, RunRecord[]>();
    this.#runs.forEach((run) => {
      runsById.set(run.requestId, [...(runsById.get(run.requestId) ?? []), run]);
    });
    const known = new Set(this.#answers.map(({ requestId }) => requestId));
    return [
      ...this.#answers.flatMap((answer) =>
        this.#checkAnswer(answer, runsById.get(answer.requestId) ?? []),
      ),
      ...[...runsById].flatMap(([id, runs]) => Evidence.#checkRuns(id, runs, known)),
      ...this.#runs.flatMap((run) => this.#checkLeaving(run)),
      ...[...this.#holders]
        .filter(([, holders]) => holders.length > 1)
        .map(([id, holders]) => `${id} got ${holders.length} orders: ${holders.join(', ')}`),
    ];
  }

  #checkAnswer(answer: AnswerRecord, runs: readonly RunRecord[]): readonly string[] {
    const { requestId, path, status, signature, body, isComplete, node } = answer;
    const name = `${requestId} ${path} at ${node}`;
    const broken: string[] = [];
    const isWhole = body === createExpectedBody(path, requestId);
    if (status === 200 && isComplete && (!isWhole || signature !== `seal-${requestId}`)) {
      broken.push(`${name}: a success that is not its own whole answer: ${body.slice(0, 80)}`);
    }
    if (ONCE.test(path) && NOT_RUN_STATUSES.has(status ?? 0) && runs.length > 0) {
      broken.push(`${name}: answered ${status} although it ran at ${runs[0].replicaId}`);
    }
    return [...broken, ...this.#checkEnd(name, answer, runs.length > 0)];
  }

  /** Whether a request ended in time, and was not cut without a reason. */
  #checkEnd(name: string, answer: AnswerRecord, hasRun: boolean): readonly string[] {
    const { node, sentAtMs, status, isComplete } = answer;
    const broken: string[] = [];
    const span = { fromMs: sentAtMs, untilMs: answer.endedAtMs };
    const isNodeCalm = this.#disturbances.wasCalm(node, span);
    const tookMs = answer.endedAtMs - sentAtMs;
    if (isNodeCalm && tookMs > SOAK_PROMISES.routeTimeoutMs + SOAK_PROMISES.answerSlackMs) {
      broken.push(`${name}: no final answer for ${Math.round(tookMs)} ms`);
    }
    const wasCut = status === undefined || (status === 200 && !isComplete);
    if (wasCut && hasRun && isNodeCalm && this.#disturbances.wasCalm('replicas', span)) {
      broken.push(`${name}: cut though neither its node nor a replica was disturbed`);
    }
    return broken;
  }

  static #checkRuns(
    id: string,
    runs: readonly RunRecord[],
    known: ReadonlySet<string>,
  ): readonly string[] {
    const [{ path, replicaId }] = runs;
    const broken: string[] = [];
    if (!known.has(id)) {
      broken.push(`${id} ran at ${replicaId}, and no caller has sent it`);
    }
    if (ONCE.test(path) && runs.length > 1) {
      broken.push(`${id} ${path} ran ${runs.length} times`);
    }
    if (runs.some(({ wasSmuggled }) => wasSmuggled)) {
      broken.push(`${id} reached ${replicaId} with a header that is the system's to set`);
    }
    return broken;
  }

  #checkLeaving({ requestId, replicaId, atMs }: RunRecord): readonly string[] {
    const { leavingMs, contactMs } = SOAK_PROMISES;
    const leftAtMs = this.#leavingAtMs.get(replicaId) ?? Infinity;
    const isLate = atMs > leftAtMs + leavingMs;
    const span = { fromMs: leftAtMs - contactMs, untilMs: atMs };
    const isCalm = ['store', 'nodes'].every((name) => this.#disturbances.wasCalm(name, span));
    return isLate && isCalm
      ? [
          `${requestId} ran at ${replicaId} ${Math.round(atMs - leftAtMs)} ms after it began to leave`,
        ]
      : [];
  }
}
