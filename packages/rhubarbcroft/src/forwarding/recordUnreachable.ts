/** Records that no connection to an endpoint could be made, and notifies the peers. */
import type InstanceState from '../instances/InstanceState.js';
import type ForwardContext from './ForwardContext.js';

export default function recordUnreachable(
  { clock, log, notifyPeers }: ForwardContext,
  state: InstanceState,
): void {
  const instanceId = state.instance.id;
  state.markUnreachable(clock.nowMs());
  notifyPeers({ type: 'unreachable', instanceId });
  log.info({ instance: instanceId }, 'endpoint unreachable: connection failed; peers notified');
}
