/**
 * Lists the replicas of a service by failure domain and kind. Spot replicas that leave although they were ordered are
 * being reclaimed, which is recorded in the ledger; none of their kind and domain counts as ready then.
 */
import type OrderLedger from '../decisions/scaling/OrderLedger.js';
import type ReplicaSupply from '../decisions/scaling/ReplicaSupply.js';
import type InstanceRegistry from '../instances/InstanceRegistry.js';
import type InstanceState from '../instances/InstanceState.js';
import type ScalingLimits from '../routes/ScalingLimits.js';

interface ScaledService {
  readonly name: string;
  readonly scaling: ScalingLimits;
}

export default function listSupplies(
  registry: InstanceRegistry,
  { name, scaling }: ScaledService,
  ledger: OrderLedger,
  nowMs: number,
): readonly ReplicaSupply[] {
  const available = registry.listAvailable(name);
  const leaving = registry.listLeaving(name);
  return Object.keys(scaling.pricesByDomain).flatMap((domain) =>
    [false, true].map((isSpot) => {
      const kind = { domain, isSpot };
      const isOfKind = ({ instance }: InstanceState): boolean =>
        instance.domain === domain && (instance.isSpot ?? false) === isSpot;
      const ready = available.filter(isOfKind).length;
      const ordered = ledger.findOrdered(kind);
      if (isSpot && ready < (ordered ?? Infinity)) {
        const ids = leaving.filter(isOfKind).map(({ instance }) => instance.id);
        ledger.recordReclaim(kind, ids, nowMs);
      }
      const lasting = ledger.isReclaimed(kind, nowMs) ? 0 : ready;
      return { ...kind, ready: lasting, ordered, isBlocked: ledger.isBlocked(kind, nowMs) };
    }),
  );
}
