/**
 * Grants the rights to change the stages of engines. A right covers one run of one engine, is granted once and
 * is never transferred, so an engine never receives orders from two nodes, however late an order arrives. This
 * needs neither a lease nor a clock. If the holder fails to send its order, the engine keeps its stage until it
 * restarts.
 */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type Instance from '../instances/Instance.js';
import type StageRight from './StageRight.js';

abstract class StageRights {
  /**
   * Claims the right for the calling process. Undefined when another process is the holder; after a failure the
   * holder is not known.
   */
  abstract claim(instance: Instance): Promise<Result<StageRight | undefined, Failure>>;
}

export default StageRights;
