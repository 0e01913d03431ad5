/** Public entry: the engine model, used by the engine stand-in and the policy benchmark. */
export { default } from './engine/EngineModel.js';
