/** Keeps recent load snapshots, so that load reports lag behind the load as those of real engines do. */
import type EngineModel from './EngineModel.js';

type Load = ReturnType<EngineModel['readLoad']>;

/** Kept beyond the lag, so that a snapshot older than the lag is still present when it is read. */
const EXTRA_RETENTION_MS = 1_000;
const NO_LOAD: Load = { running: 0, queuedPromptTokens: [0, 0, 0], pendingOutputTokens: 0 };

export default class LoadHistory {
  readonly #lagMs: number;

  #snapshots: readonly { readonly atMs: number; readonly load: Load }[] = [];

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  record(load: Load): void {
    const nowMs = performance.now();
    const kept = this.#snapshots.filter(
      ({ atMs }) => nowMs - atMs < this.#lagMs + EXTRA_RETENTION_MS,
    );
    this.#snapshots = [...kept, { atMs: nowMs, load }];
  }

  /** Returns the load as of `lagMs` ago; no load if no snapshot is that old. */
  read(): Load {
    const latestMs = performance.now() - this.#lagMs;
    return this.#snapshots.findLast(({ atMs }) => atMs <= latestMs)?.load ?? NO_LOAD;
  }
}
