/** Builds the candidates of a placement decision from the state of the instances, and a placement from its result. */
import type ForwardRequest from './ForwardRequest.js';
import type Placement from './Placement.js';
import type AttemptHistory from './AttemptHistory.js';

abstract class EndpointChooser {
  /** Chooses a placement, excluding instances that were already tried; undefined when no instance is left. */
  abstract choose(request: ForwardRequest, history: AttemptHistory): Placement | undefined;
}

export default EndpointChooser;
