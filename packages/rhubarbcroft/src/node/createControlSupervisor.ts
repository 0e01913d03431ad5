/** Creates the control supervisor: the lease of this failure domain and the changes that its holder carries out. */
import type Demand from '../decisions/roles/Demand.js';
import DemandRolePlanner from '../decisions/roles/DemandRolePlanner.js';
import ROLE_PLANNING from '../decisions/roles/ROLE_PLANNING.js';
import ChangeController from '../orders/ChangeController.js';
import IntentRepository from '../orders/IntentRepository.js';
import IssuerLiveness from '../orders/IssuerLiveness.js';
import Lease from '../orders/Lease.js';
import LeaseRenewer from '../orders/LeaseRenewer.js';
import OrderIssuer from '../orders/OrderIssuer.js';
import Supervisor from '../supervision/Supervisor.js';
import type NodeParts from './NodeParts.js';
import type PeerSubsystem from './PeerSubsystem.js';

export default function createControlSupervisor(
  parts: NodeParts,
  peers: PeerSubsystem,
): Supervisor {
  const { settings, clock, log, directory, registry, vms, table, demand } = parts;
  const { leaseTtlMs, leaseMarginMs, planMs } = settings.control;
  const { domain, nodeId, incarnation } = directory.own;
  const holder = `${nodeId}/${incarnation}`;
  const lease = new Lease({
    table,
    clock,
    group: domain,
    holder,
    ttlMs: leaseTtlMs,
    marginMs: leaseMarginMs,
  });
  const intents = new IntentRepository(table, domain);
  const issuers = new IssuerLiveness(directory, vms);
  const issuer = new OrderIssuer({ lease, intents, issuers, registry, clock, issuer: holder });
  const readDemand = (model: string): Demand => {
    const peerDemand = directory.sumDomainDemand(model);
    const ownDemand = demand.read(model, clock.nowMs());
    return {
      promptTokensPerS: ownDemand.promptTokensPerS + peerDemand.promptTokensPerS,
      outputTokensPerS: ownDemand.outputTokensPerS + peerDemand.outputTokensPerS,
    };
  };
  return new Supervisor('control', clock, log).declareChildren(
    new LeaseRenewer({ lease, directory, clock, ttlMs: leaseTtlMs, bound: peers.bound }),
    new ChangeController({
      ...parts,
      lease,
      issuer,
      intents,
      readDemand,
      planMs,
      domain,
      publishDrains: () => peers.publishDrains(),
      createPlanner: () => new DemandRolePlanner(ROLE_PLANNING),
    }),
  );
}
