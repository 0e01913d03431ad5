/** The dependencies that the handlers of the administration API share. */
import type Logger from 'bunyan';
import type CurrentFleet from '../configuration/CurrentFleet.js';
import type FleetRepository from '../configuration/FleetRepository.js';
import type EndpointRegistry from '../endpoints/EndpointRegistry.js';
import type DrainRegistry from '../membership/DrainRegistry.js';
import type NodeDirectory from '../membership/NodeDirectory.js';
import type IntentRepository from '../orders/IntentRepository.js';
import type OperatorAuthenticator from './OperatorAuthenticator.js';

interface OperatorContext {
  readonly authenticator: OperatorAuthenticator;
  readonly currentFleet: CurrentFleet;
  readonly repository: FleetRepository;
  readonly registry: EndpointRegistry;
  readonly intents: IntentRepository;
  readonly directory: NodeDirectory;
  readonly drains: DrainRegistry;
  readonly publishDrains: () => void;
  readonly dumpState: () => unknown;
  readonly log: Logger;
}

export default OperatorContext;
