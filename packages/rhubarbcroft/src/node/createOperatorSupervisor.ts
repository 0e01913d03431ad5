/** Creates the supervisor of the administration API: its listener, with a task for each connection. */
import HttpFrontEnd from '../callers/HttpFrontEnd.js';
import IntentRepository from '../orders/IntentRepository.js';
import OperatorAuthenticator from '../operators/OperatorAuthenticator.js';
import declareHttpListener from './declareHttpListener.js';
import Supervisor from '../supervision/Supervisor.js';
import type NodeParts from './NodeParts.js';
import type PeerSubsystem from './PeerSubsystem.js';
import createOperatorRoutes from './createOperatorRoutes.js';

const MAX_CONNECTIONS = 128;

export default function createOperatorSupervisor(
  parts: NodeParts,
  peers: PeerSubsystem,
  dumpState: () => unknown,
): Supervisor {
  const { settings, clock, log, metrics, currentFleet } = parts;
  const supervisor = new Supervisor('operators', clock, log);
  const routes = createOperatorRoutes({
    ...parts,
    intents: new IntentRepository(parts.table, settings.node.domain),
    authenticator: new OperatorAuthenticator(currentFleet, settings.operators.token),
    publishDrains: () => peers.publishDrains(),
    dumpState,
  });
  return declareHttpListener(parts, settings.operators, {
    name: 'operator-listener',
    address: settings.operators.address,
    maxConnections: MAX_CONNECTIONS,
    lameDuckMs: 0,
    frontEnd: new HttpFrontEnd(routes, log, metrics),
    supervisor,
  });
}
