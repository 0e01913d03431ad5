/** The role of a model engine: prefill only, decode only, or both in one batch. */
type EngineRole = 'prefill' | 'decode' | 'mixed';

export default EngineRole;
