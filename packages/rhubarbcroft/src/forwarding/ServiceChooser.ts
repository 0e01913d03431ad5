/** Chooses the endpoint of a plain call, or of a generation request whose headers do not describe its prompt. */
import chooseServiceEndpoint from '../decisions/placement/chooseServiceEndpoint.js';
import findDistance from '../decisions/placement/findDistance.js';
import EndpointChooser from './EndpointChooser.js';
import type ForwardContext from './ForwardContext.js';
import type ForwardRequest from './ForwardRequest.js';
import type Placement from './Placement.js';
import type AttemptHistory from './AttemptHistory.js';
import listCandidates from './listCandidates.js';
import readPaces from './readPaces.js';

export default class ServiceChooser extends EndpointChooser {
  readonly #context: ForwardContext;

  constructor(context: ForwardContext) {
    super();
    this.#context = context;
  }

  override choose(request: ForwardRequest, { triedIds }: AttemptHistory): Placement | undefined {
    const { registry, clock, location } = this.#context;
    const nowMs = clock.nowMs();
    const states = listCandidates(registry, request.service, triedIds, nowMs).filter(
      ({ instance }) => instance.stage !== 'prefill',
    );
    const paces = readPaces(states, nowMs);
    const chosen = chooseServiceEndpoint(
      states.map((state) => ({
        id: state.instance.id,
        distance: findDistance(location.regionsByDomain, location.domain, state.instance.domain),
        slots: state.concurrency.read(state.instance.slots, nowMs),
        running: state.estimateRunning(nowMs),
        pace: paces.get(state.instance.id) ?? 1,
        failureShare: state.health.readFailureShare(nowMs),
      })),
    );
    const target = states.find(({ instance }) => instance.id === chosen?.id);
    return (
      target && { target, prefill: undefined, copyFrom: undefined, prefillMs: 0, expectedMs: 0 }
    );
  }
}
