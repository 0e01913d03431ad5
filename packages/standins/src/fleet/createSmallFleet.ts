/**
 * Creates the plan of a small fleet, for the demo and the tests: three entry VMs in two failure domains,
 * three engines that serve one model, and a plain service with two replicas.
 */
import type EndpointPlan from './EndpointPlan.js';
import type FleetPlan from './FleetPlan.js';

const CENTRO = { domain: 'centro', region: 'centro' };
const LITORAL = { domain: 'litoral', region: 'litoral' };

function createEngine(
  id: string,
  location: typeof CENTRO,
  fencing: 'checked' | 'ignored',
): EndpointPlan {
  return { id, kind: 'engine', ...location, labels: { model: 'appraiser' }, fencing };
}

function createService(id: string, location: typeof CENTRO): EndpointPlan {
  return { id, kind: 'service', ...location, labels: { app: 'ledger' } };
}

export default function createSmallFleet(changes: Partial<FleetPlan> = {}): FleetPlan {
  return {
    nodes: [
      { id: 'vm-1', ...LITORAL },
      { id: 'vm-2', ...LITORAL },
      { id: 'vm-3', ...CENTRO },
    ],
    endpoints: [
      createEngine('engine-1', LITORAL, 'checked'),
      createEngine('engine-2', LITORAL, 'ignored'),
      createEngine('engine-3', CENTRO, 'checked'),
      createService('ledger-1', LITORAL),
      createService('ledger-2', CENTRO),
    ],
    document: {
      models: [{ name: 'appraiser', where: 'model=appraiser' }],
      services: [{ name: 'ledger', where: 'app=ledger' }],
      kinds: [{ name: 'audit', weight: 2, floor: 0.2, worth: 3 }],
      rules: [{ name: 'audits', match: 'kind=audit', rank: 'urgent' }],
    },
    ...changes,
  };
}
