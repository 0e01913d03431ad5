/** Speed and size of a modelled engine. The names are keys of the stand-in's `model` argument. */
interface EngineModelOptions {
  /** Concurrent sequences in each role. */
  readonly mixedSlots: number;
  readonly decodeSlots: number;
  readonly prefillSlots: number;
  /** Prompt tokens prefilled per step, in roles other than `prefill`. */
  readonly mixedChunkTokens: number;
  /** Prompt tokens prefilled per step in the role `prefill`. */
  readonly prefillChunkTokens: number;
  /** Duration of a step without any sequence. */
  readonly baseStepMs: number;
  /** Added to a step for each decoding sequence. */
  readonly stepMsPerSequence: number;
  /** Added to a step for each prefilled token. */
  readonly prefillMsPerToken: number;
  /** Capacity of the prefix cache in blocks. */
  readonly cachePieces: number;
  /** Size of a cache block in tokens. */
  readonly pieceTokens: number;
  /** How long a role change keeps the engine from serving. */
  readonly roleChangeMs: number;
}

export default EngineModelOptions;
