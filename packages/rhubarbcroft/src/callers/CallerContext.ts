/** The services that the HTTP handlers of caller requests share. */
import type Settings from '@rhubarbcroft/protocol/settings/Settings';
import type CurrentFleet from '../configuration/CurrentFleet.js';
import type AccountLimits from '../decisions/limits/AccountLimits.js';
import type GateRegistry from '../dispatch/GateRegistry.js';
import type GateFactory from '../dispatch/GateFactory.js';
import type ModelDispatcher from '../dispatch/ModelDispatcher.js';
import type ServiceDispatcher from '../dispatch/ServiceDispatcher.js';
import type Clock from '../supervision/Clock.js';
import type AttributeResolver from './AttributeResolver.js';
import type Authenticator from './Authenticator.js';
import type CallerIdentity from './CallerIdentity.js';
import type Fingerprinter from './Fingerprinter.js';

interface CallerContext {
  readonly settings: Settings;
  readonly currentFleet: CurrentFleet;
  readonly authenticator: Authenticator<CallerIdentity>;
  readonly attributeResolver: AttributeResolver;
  readonly fingerprinter: Fingerprinter;
  readonly limits: AccountLimits;
  readonly gates: GateRegistry;
  readonly gateFactory: GateFactory;
  readonly models: ModelDispatcher;
  readonly services: ServiceDispatcher;
  readonly clock: Clock;
}

export default CallerContext;
