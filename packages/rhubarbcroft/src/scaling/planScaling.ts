/** Plans the task that orders replicas, under the supervisor of the duties; nothing where this is not a duty. */
import type Logger from 'bunyan';
import type DemandReports from '../duties/DemandReports.js';
import type DutyCalls from '../duties/DutyCalls.js';
import type DutyRights from '../duties/DutyRights.js';
import type DutySettings from '../duties/DutySettings.js';
import type ForwardContext from '../forwarding/ForwardContext.js';
import type Supervisor from '../supervision/Supervisor.js';
import ScalingController from './ScalingController.js';

interface Duties {
  readonly supervisor: Supervisor;
  readonly rights: DutyRights;
  readonly calls: DutyCalls;
  readonly reports: DemandReports;
}

export default function planScaling(
  settings: DutySettings | undefined,
  duties: Duties | undefined,
  { routing, registry, speeds, metrics, clock }: ForwardContext,
  log: Logger,
): readonly Supervisor[] {
  if (settings === undefined || duties === undefined) {
    return [];
  }
  const { supervisor, rights, calls, reports } = duties;
  if (settings.ordersReplicas) {
    const { callsPerS } = settings;
    const parts = { routing, registry, speeds, reports, rights, calls, callsPerS };
    supervisor.declareChildren(new ScalingController({ ...parts, metrics, clock, log }));
  }
  return [supervisor];
}
