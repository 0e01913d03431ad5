/** Creates the dispatch gates of models and services, with the admission and routing policies of this daemon. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type Settings from '@rhubarbcroft/protocol/settings/Settings';
import type CurrentFleet from '../configuration/CurrentFleet.js';
import type Work from '../decisions/Work.js';
import ConcurrencyRule from '../decisions/admission/ConcurrencyRule.js';
import FairAdmission from '../decisions/admission/FairAdmission.js';
import HeadroomRule from '../decisions/admission/HeadroomRule.js';
import type KindShare from '../decisions/admission/KindShare.js';
import estimateServiceMs from '../decisions/estimateServiceMs.js';
import COST_ROUTING from '../decisions/routing/COST_ROUTING.js';
import type DemandMeter from '../decisions/roles/DemandMeter.js';
import CostRouter from '../decisions/routing/CostRouter.js';
import LeastLoadedRouter from '../decisions/routing/LeastLoadedRouter.js';
import type EndpointRegistry from '../endpoints/EndpointRegistry.js';
import type DispatchNotice from '../peers/DispatchNotice.js';
import type Clock from '../supervision/Clock.js';
import DispatchGate from './DispatchGate.js';

interface GateFactoryOptions {
  readonly settings: Settings;
  readonly currentFleet: CurrentFleet;
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
  /** Seeds the random numbers of the routers. */
  readonly seed: number;
  readonly demand: DemandMeter;
  /** Sends a notice of each dispatched request to the peers. */
  readonly publishDispatch: (notice: DispatchNotice) => void;
  /** Called when a gate has a queued request that could not be dispatched at once. */
  readonly notifyWaiting: () => void;
}

/** A model or service, and the part of its endpoints that a placement rule allows. */
interface EndpointGroup {
  /** The name of the model or service. */
  readonly name: string;
  /** The selector of the placement rule. */
  readonly where: string;
  /** Restricts the group to one region. */
  readonly region: string | undefined;
}

type GateOptions = ConstructorParameters<typeof DispatchGate>[0];

interface GateParts extends Pick<
  GateOptions,
  'router' | 'rule' | 'listCandidateIds' | 'recordDemand'
> {
  readonly estimateServiceMs: (work: Work) => number;
}

/** The share of a kind that the fleet document does not list. */
const DEFAULT_SHARE: KindShare = { weight: 1, floor: 0 };

export default class GateFactory {
  readonly #options: GateFactoryOptions;

  constructor(options: GateFactoryOptions) {
    this.#options = options;
  }

  createModelGate(group: EndpointGroup): DispatchGate {
    const { settings, seed, demand, clock } = this.#options;
    const router = new CostRouter(
      {
        ...COST_ROUTING,
        ownDomain: settings.node.domain,
        ownRegion: settings.node.region,
        crossRegionPenaltyMs: settings.endpoints.crossRegionPenaltyMs,
      },
      xoroshiro128plus(seed),
    );
    return this.#createGate({
      router,
      rule: new HeadroomRule(),
      estimateServiceMs,
      listCandidateIds: () => {
        const where = this.#options.currentFleet.current?.modelsByName.get(group.name)?.where;
        return where === undefined ? [] : this.#listIds('engine', where, group);
      },
      recordDemand: (promptTokens, outputTokens) =>
        demand.record(group.name, promptTokens, outputTokens, clock.nowMs()),
    });
  }

  createServiceGate(group: EndpointGroup): DispatchGate {
    return this.#createGate({
      router: new LeastLoadedRouter(this.#options.settings.node.region),
      rule: new ConcurrencyRule(),
      estimateServiceMs: () => 0,
      listCandidateIds: () => {
        const where = this.#options.currentFleet.current?.servicesByName.get(group.name)?.where;
        return where === undefined ? [] : this.#listIds('service', where, group);
      },
      recordDemand: () => undefined,
    });
  }

  #createGate({ estimateServiceMs: estimate, ...parts }: GateParts): DispatchGate {
    const {
      settings,
      registry,
      clock,
      publishDispatch: publish,
      notifyWaiting: notify,
    } = this.#options;
    const policy = new FairAdmission({
      maxQueuedPerKind: settings.admission.maxQueuedPerKind,
      findShare: (kind) =>
        this.#options.currentFleet.current?.kindsByName.get(kind) ?? DEFAULT_SHARE,
      estimateServiceMs: estimate,
    });
    return new DispatchGate({
      ...parts,
      policy,
      registry,
      clock,
      publishDispatch: publish,
      notifyWaiting: notify,
    });
  }

  #listIds(kind: 'engine' | 'service', where: string, group: EndpointGroup): readonly string[] {
    const matching =
      this.#options.currentFleet.current?.findEndpoints(kind, where, group.where) ?? [];
    const inRegion =
      group.region === undefined
        ? matching
        : matching.filter((endpoint) => endpoint.region === group.region);
    return inRegion.map((endpoint) => endpoint.id);
  }
}
