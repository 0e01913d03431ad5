/** Default speed and size of the modelled engine; the stand-in's `model` argument overrides single values. */
import type EngineModelOptions from './EngineModelOptions.js';

const DEFAULT_ENGINE: EngineModelOptions = {
  mixedSlots: 32,
  decodeSlots: 96,
  prefillSlots: 64,
  mixedChunkTokens: 192,
  prefillChunkTokens: 1_024,
  baseStepMs: 6,
  stepMsPerSequence: 0.15,
  prefillMsPerToken: 0.06,
  cachePieces: 64,
  pieceTokens: 2_000,
  roleChangeMs: 4_000,
};

export default DEFAULT_ENGINE;
