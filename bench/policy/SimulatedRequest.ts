/** A request in a replay and its outcome so far. */
import DEFAULT_ENGINE from '@rhubarbcroft/standins/engine/DEFAULT_ENGINE';
import type Work from 'rhubarbcroft/decisions/Work';
import type TraceKind from './TraceKind.js';
import type TraceRequest from './TraceRequest.js';

export default class SimulatedRequest {
  readonly id: string;

  readonly work: Work;

  readonly kind: TraceKind;

  readonly source: TraceRequest;

  readonly node: number;

  #tokens = 0;

  #firstTokenAtMs = Infinity;

  #lastTokenAtMs = Infinity;

  #refused = false;

  #sentAtMs = Infinity;

  constructor(
    id: string,
    node: number,
    source: TraceRequest,
    kind: TraceKind,
    deadlineAtMs: number,
  ) {
    this.id = id;
    this.node = node;
    this.source = source;
    this.kind = kind;
    this.work = {
      requestId: id,
      kind: kind.name,
      rank: kind.rank,
      promptTokens: source.promptTokens,
      outputTokens: source.outputTokens,
      prefixKeys: Array.from(
        { length: Math.floor(source.promptTokens / DEFAULT_ENGINE.pieceTokens) },
        (_unused, piece) =>
          piece < source.sharedPieces ? `${source.conversation}/${piece}` : `${id}/${piece}`,
      ),
      arrivedAtMs: source.atMs,
      deadlineAtMs,
    };
  }

  get tokens(): number {
    return this.#tokens;
  }

  get firstTokenMs(): number {
    return this.#firstTokenAtMs - this.source.atMs;
  }

  /** Time between arrival and first dispatch to an engine. */
  get queuedMs(): number {
    return this.#sentAtMs - this.source.atMs;
  }

  get refused(): boolean {
    return this.#refused;
  }

  get isComplete(): boolean {
    return this.#tokens >= this.source.outputTokens;
  }

  /** Mean time between tokens. */
  get betweenTokensMs(): number {
    return (this.#lastTokenAtMs - this.#firstTokenAtMs) / Math.max(1, this.source.outputTokens - 1);
  }

  /** Whether the answer is complete and met its targets for the first token and between tokens. */
  get inTarget(): boolean {
    const { firstTokenMs, betweenTokensMs } = this.kind;
    return (
      this.isComplete &&
      this.firstTokenMs <= firstTokenMs &&
      this.betweenTokensMs <= betweenTokensMs
    );
  }

  deliver(nowMs: number): void {
    if (this.#tokens === 0) {
      this.#firstTokenAtMs = nowMs;
    }
    this.#tokens += 1;
    this.#lastTokenAtMs = nowMs;
  }

  recordDispatch(nowMs: number): void {
    this.#sentAtMs = Math.min(this.#sentAtMs, nowMs);
  }

  refuse(): void {
    this.#refused = true;
  }
}
