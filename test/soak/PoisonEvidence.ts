/** Records the replicas that parts of prompts crash and the requests with such parts, and finds violated guarantees. */
import type AnswerRecord from './AnswerRecord.js';
import type Disturbances from './Disturbances.js';
import PromptSource from './PromptSource.js';
import SOAK_GUARANTEES from './SOAK_GUARANTEES.js';

/** A request with a deadly part that reached a replica. */
interface DeadlyArrival {
  readonly part: string;
  readonly requestId: string;
  readonly atMs: number;
}

const { contactMs, maxCrashes, maxDeadlyRequests, minSoundRequests, soundShare } = SOAK_GUARANTEES;

function computeBegunShare(answers: readonly AnswerRecord[]): number {
  const begun = answers.filter(({ status, body }) => status === 200 && body.length > 0);
  return begun.length / answers.length;
}

export default class PoisonEvidence {
  readonly #disturbances: Disturbances;

  readonly #arrivals: DeadlyArrival[] = [];

  /** When a replica crashed, by the part that crashed it. */
  readonly #crashesAtMs = new Map<string, readonly number[]>();

  constructor(disturbances: Disturbances) {
    this.#disturbances = disturbances;
  }

  recordArrival(arrival: DeadlyArrival): void {
    this.#arrivals.push(arrival);
  }

  recordCrash(part: string): void {
    const crashesAtMs = this.#crashesAtMs.get(part) ?? [];
    this.#crashesAtMs.set(part, [...crashesAtMs, performance.now()]);
  }

  /** Returns one line for each violated guarantee. */
  findViolations(answers: readonly AnswerRecord[]): readonly string[] {
    return [...this.#crashesAtMs].flatMap(([part, crashesAtMs]) => [
      ...this.#checkArrivals(part, crashesAtMs, answers),
      ...this.#checkSoundRequests(part, crashesAtMs, answers),
    ]);
  }

  #checkArrivals(
    part: string,
    crashesAtMs: readonly number[],
    answers: readonly AnswerRecord[],
  ): readonly string[] {
    const fromMs = (crashesAtMs[maxCrashes - 1] ?? Infinity) + contactMs;
    const nodes = new Map(answers.map(({ requestId, node }) => [requestId, node]));
    const late = this.#arrivals.filter(
      ({ part: other, requestId, atMs }) =>
        other === part &&
        atMs > fromMs &&
        this.#disturbances.wasInContact(nodes.get(requestId) ?? '', atMs),
    );
    return late.length > maxDeadlyRequests
      ? [
          `${late.length} requests with part ${part} reached replicas later than ${contactMs} ms after its crash number ${maxCrashes} of ${crashesAtMs.length}, at most ${maxDeadlyRequests} expected`,
        ]
      : [];
  }

  /** Checks that streams of the same path that share the first part still begin. */
  #checkSoundRequests(
    part: string,
    crashesAtMs: readonly number[],
    answers: readonly AnswerRecord[],
  ): readonly string[] {
    const deadly = answers.filter(({ parts }) => PromptSource.findDeadlyPart(parts) === part);
    const fromMs = (crashesAtMs[maxCrashes - 1] ?? crashesAtMs.at(-1) ?? 0) + 2 * contactMs;
    const untilMs = Math.max(...deadly.map(({ sentAtMs }) => sentAtMs));
    const sound = answers.filter(
      ({ path, parts, node, sentAtMs }) =>
        path === deadly[0]?.path &&
        PromptSource.findDeadlyPart(parts) === undefined &&
        this.#disturbances.wasInContact(node, sentAtMs),
    );
    const beside = sound.filter(({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs <= untilMs);
    const undisturbed = sound.filter(({ sentAtMs, endedAtMs }) =>
      ['replicas', 'store', 'nodes', 'prompts'].every((name) =>
        this.#disturbances.wasUndisturbed(name, {
          fromMs: sentAtMs - contactMs,
          untilMs: endedAtMs,
        }),
      ),
    );
    if (Math.min(beside.length, undisturbed.length) < minSoundRequests) {
      return [];
    }
    const [share, usualShare] = [beside, undisturbed].map(computeBegunShare);
    return share < usualShare * soundShare
      ? [
          `${share.toFixed(3)} of ${beside.length} sound streams began beside part ${part}, less than ${soundShare} of the ${usualShare.toFixed(3)} without a disturbance`,
        ]
      : [];
  }
}
