/** Notes that no connection to an endpoint could be made, and tells the peers. */
import type InstanceState from '../instances/InstanceState.js';
import type ForwardContext from './ForwardContext.js';

export default function noteUnreachable(
  { clock, log, tellPeers }: ForwardContext,
  state: InstanceState,
): void {
  const instanceId = state.instance.id;
  state.noteUnreachable(clock.nowMs());
  tellPeers({ type: 'unreachable', instanceId });
  log.info({ instance: instanceId }, 'endpoint cannot be reached');
}
