/** Permits one attempt along one route. From its creation on, the attempt counts as in-flight work of the endpoint. */
import type Route from '../decisions/routing/Route.js';

interface DispatchTicket {
  readonly attemptId: string;
  readonly route: Route;
  /** The priority at the endpoint: the index of the rank at which the work runs, 0 for the most urgent. */
  readonly priority: number;
}

export default DispatchTicket;
