/**
 * Models one engine with continuous batching.
 *
 * Each step decodes one token of every running sequence and prefills a chunk of the waiting prompts; its
 * duration grows with both. The user of the class owns the clock: it runs a step, waits for the step's
 * duration (or advances a virtual clock), and runs the next step.
 */
import type EngineJob from './EngineJob.js';
import type EngineModelOptions from './EngineModelOptions.js';
import BlockCache from './BlockCache.js';
import type StepResult from './StepResult.js';

const PRIORITIES = [0, 1, 2];

type Role = 'prefill' | 'decode' | 'mixed';

interface Sequence {
  readonly job: EngineJob;
  readonly promptTokensLeft: number;
  readonly nextIndex: number;
}

export default class EngineModel {
  readonly #options: EngineModelOptions;

  readonly cache: BlockCache;

  #role: Role;

  #waiting: readonly EngineJob[] = [];

  readonly #running = new Map<string, Sequence>();

  constructor(options: EngineModelOptions, role: Role = 'mixed') {
    this.#options = options;
    this.#role = role;
    this.cache = new BlockCache(options.cachePieces);
  }

  get role(): Role {
    return this.#role;
  }

  set role(role: Role) {
    this.#role = role;
  }

  get isIdle(): boolean {
    return this.#running.size === 0 && this.#waiting.length === 0;
  }

  /** Queues a job behind all waiting jobs that are at least as urgent. */
  submit(job: EngineJob): void {
    const lessUrgentIndex = this.#waiting.findIndex((other) => other.priority > job.priority);
    const index = lessUrgentIndex === -1 ? this.#waiting.length : lessUrgentIndex;
    this.#waiting = [...this.#waiting.slice(0, index), job, ...this.#waiting.slice(index)];
  }

  cancel(id: string): void {
    this.#waiting = this.#waiting.filter((job) => job.id !== id);
    this.#running.delete(id);
  }

  /** Drops all waiting and running jobs, as a crash or a role change does, and returns their ids. */
  clear(): readonly string[] {
    const droppedIds = [...this.#waiting.map((job) => job.id), ...this.#running.keys()];
    this.#waiting = [];
    this.#running.clear();
    return droppedIds;
  }

  /** Capacity in the current role: concurrent sequences, and prefill throughput with all slots in use. */
  readCapacity(): { readonly slots: number; readonly prefillTokensPerS: number } {
    const { baseStepMs, stepMsPerSequence, prefillMsPerToken } = this.#options;
    const slots = this.#countSlots();
    const chunkTokens = this.#countChunkTokens();
    const decodingSlots = this.#role === 'prefill' ? 0 : slots;
    const stepMs = baseStepMs + decodingSlots * stepMsPerSequence + chunkTokens * prefillMsPerToken;
    return { slots, prefillTokensPerS: (chunkTokens / stepMs) * 1_000 };
  }

  /** Current load; `queuedPromptTokens` has an element per priority, the most urgent first. */
  readLoad(): {
    readonly running: number;
    readonly queuedPromptTokens: readonly number[];
    readonly pendingOutputTokens: number;
  } {
    const sequences = [...this.#running.values()];
    return {
      running: this.#running.size + this.#waiting.length,
      queuedPromptTokens: PRIORITIES.map(
        (priority) =>
          this.#waiting.reduce(
            (sum, job) => sum + (job.priority === priority ? job.promptTokens : 0),
            0,
          ) +
          sequences.reduce(
            (sum, { job, promptTokensLeft }) =>
              sum + (job.priority === priority ? promptTokensLeft : 0),
            0,
          ),
      ),
      pendingOutputTokens: sequences.reduce(
        (sum, sequence) => sum + sequence.job.outputTokens - sequence.nextIndex,
        0,
      ),
    };
  }

  /** Runs one step of the batch; returns undefined when no job is waiting or running. */
  step(): StepResult | undefined {
    this.#fillSlots();
    if (this.#running.size === 0) {
      return undefined;
    }
    const decoding = [...this.#running.values()].filter(
      (sequence) => sequence.promptTokensLeft === 0,
    );
    const { prefilled, usedTokens } = this.#prefillChunk();
    const stepped = [...decoding, ...prefilled.filter((sequence) => !sequence.job.prefillOnly)];
    const tokens = stepped.map(({ job, nextIndex }) => ({ id: job.id, index: nextIndex }));
    const finishedIds = this.#advanceSequences(stepped, prefilled);
    const { baseStepMs, stepMsPerSequence, prefillMsPerToken } = this.#options;
    const durationMs =
      baseStepMs + decoding.length * stepMsPerSequence + usedTokens * prefillMsPerToken;
    return { durationMs, tokens, finishedIds };
  }

  #countSlots(): number {
    const { mixedSlots, decodeSlots, prefillSlots } = this.#options;
    const slots = { mixed: mixedSlots, decode: decodeSlots, prefill: prefillSlots };
    return slots[this.#role];
  }

  #countChunkTokens(): number {
    const { prefillChunkTokens, mixedChunkTokens } = this.#options;
    return this.#role === 'prefill' ? prefillChunkTokens : mixedChunkTokens;
  }

  /** Moves waiting jobs into the free slots; a resumed answer is prefilled again with its prompt. */
  #fillSlots(): void {
    const freeSlots = this.#countSlots() - this.#running.size;
    const admitted = this.#waiting.slice(0, Math.max(0, freeSlots));
    this.#waiting = this.#waiting.slice(admitted.length);
    for (const job of admitted) {
      const cachedTokens = this.cache.countCachedBlocks(job.prefixKeys) * this.#options.pieceTokens;
      const promptTokensLeft =
        job.promptTokens === 0 ? 0 : Math.max(1, job.promptTokens + job.resumeFrom - cachedTokens);
      this.#running.set(job.id, { job, promptTokensLeft, nextIndex: job.resumeFrom });
    }
  }

  /** Distributes the step's prefill chunk over the waiting prompts, the most urgent first. */
  #prefillChunk(): { readonly prefilled: readonly Sequence[]; readonly usedTokens: number } {
    const chunkTokens = this.#countChunkTokens();
    const waiting = [...this.#running.values()]
      .filter((sequence) => sequence.promptTokensLeft > 0)
      .sort((a, b) => a.job.priority - b.job.priority);
    const prefilled: Sequence[] = [];
    let remainingTokens = chunkTokens;
    for (const sequence of waiting) {
      if (remainingTokens === 0) {
        break;
      }
      const usedTokens = Math.min(remainingTokens, sequence.promptTokensLeft);
      remainingTokens -= usedTokens;
      const updated = { ...sequence, promptTokensLeft: sequence.promptTokensLeft - usedTokens };
      this.#running.set(sequence.job.id, updated);
      if (updated.promptTokensLeft === 0) {
        prefilled.push(updated);
        this.cache.store(sequence.job.prefixKeys);
      }
    }
    return { prefilled, usedTokens: chunkTokens - remainingTokens };
  }

  /** Counts one more token for each stepped sequence, removes the finished ones and returns their ids. */
  #advanceSequences(
    stepped: readonly Sequence[],
    prefilled: readonly Sequence[],
  ): readonly string[] {
    const finishedIds = prefilled.filter(({ job }) => job.prefillOnly).map(({ job }) => job.id);
    for (const sequence of stepped) {
      const nextIndex = sequence.nextIndex + 1;
      if (nextIndex >= sequence.job.outputTokens) {
        finishedIds.push(sequence.job.id);
      } else {
        this.#running.set(sequence.job.id, { ...sequence, nextIndex });
      }
    }
    finishedIds.forEach((id) => this.#running.delete(id));
    return finishedIds;
  }
}
