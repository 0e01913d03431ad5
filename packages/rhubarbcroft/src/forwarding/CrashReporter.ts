/**
 * Detects crashes of endpoints by the requests that ran there. When connections break before a first event, the
 * endpoint may have crashed, or only the connections may have ended: a refused new connection confirms the crash. The
 * requests that had produced nothing by then are its suspects; one that had begun to write is not.
 */
import type InstanceState from '../instances/InstanceState.js';
import type ForwardContext from './ForwardContext.js';

interface CrashReporterOptions {
  /** Whether a new connection to the address is refused. */
  readonly isRefused: (address: string) => Promise<boolean>;
  readonly recordCrash: (run: string, prompts: readonly (readonly string[])[]) => void;
}

/** The broken requests of one run of an instance, since the first of them. */
interface BrokenRun {
  readonly sinceMs: number;
  readonly prompts: readonly (readonly string[])[];
  readonly hasCrashed: boolean;
}

/** The connections of a crashed endpoint break within this time of each other, at the nodes of its own region. */
const COLLECT_MS = 20;
/** Requests that break later do not belong to the same event. */
const BROKEN_RUN_MS = 1_000;
const MAX_LOGGED_PROMPTS = 16;

export default class CrashReporter {
  readonly #context: ForwardContext;

  readonly #options: CrashReporterOptions;

  /** By `id@startedAtMs`. */
  readonly #brokenRuns = new Map<string, BrokenRun>();

  constructor(context: ForwardContext, options: CrashReporterOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Records that a connection broke before the first event of a request with these parts and this key. */
  recordBreak(target: InstanceState, suspects: readonly string[]): void {
    const { clock, registry } = this.#context;
    const { instance } = target;
    if (registry.find(instance.id) !== target || target.isLeaving) {
      return;
    }
    const nowMs = clock.nowMs();
    const run = `${instance.id}@${instance.startedAtMs}`;
    const known = this.#brokenRuns.get(run);
    if (known !== undefined && nowMs - known.sinceMs < BROKEN_RUN_MS) {
      this.#brokenRuns.set(run, { ...known, prompts: [...known.prompts, suspects] });
      if (known.hasCrashed) {
        this.#report(run, [suspects]);
      }
      return;
    }
    this.#brokenRuns.set(run, { sinceMs: nowMs, prompts: [suspects], hasCrashed: false });
    void this.#confirm(run, instance.address);
  }

  async #confirm(run: string, address: string): Promise<void> {
    const { clock, metrics } = this.#context;
    await clock.sleep(COLLECT_MS);
    const hasCrashed = await this.#options.isRefused(address);
    const broken = this.#brokenRuns.get(run);
    if (broken !== undefined && hasCrashed) {
      metrics.increment('crashes');
      this.#brokenRuns.set(run, { ...broken, hasCrashed });
      this.#report(run, broken.prompts);
    }
    await clock.sleep(BROKEN_RUN_MS);
    this.#brokenRuns.delete(run);
  }

  #report(run: string, prompts: readonly (readonly string[])[]): void {
    this.#context.log.info(
      { run, suspects: prompts.length, prompts: prompts.slice(0, MAX_LOGGED_PROMPTS) },
      'endpoint crashed: connections broke before a first event and new ones are refused',
    );
    this.#options.recordCrash(run, prompts);
  }
}
