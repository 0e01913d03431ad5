/**
 * The rights to order engines to another stage. A right belongs to one run of one engine, is given once
 * and never passes on, so no engine ever gets orders from two nodes, however late an order arrives; what the
 * holder does not get done stays undone until the engine starts anew. That needs no lease and no clock.
 */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type Instance from '../instances/Instance.js';
import type StageRight from './StageRight.js';

abstract class StageRights {
  /** Undefined when another node holds the right. A failure says nothing of who does. */
  abstract claim(instance: Instance): Promise<Result<StageRight | undefined, Failure>>;
}

export default StageRights;
