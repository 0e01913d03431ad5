/** Turns what is known of the instances into candidates, and a decision over them into a placement. */
import type ForwardRequest from './ForwardRequest.js';
import type Placement from './Placement.js';
import type Tried from './Tried.js';

abstract class EndpointChooser {
  /** A placement without the instances that this request has failed at; undefined when there is none. */
  abstract choose(request: ForwardRequest, tried: Tried): Placement | undefined;
}

export default EndpointChooser;
