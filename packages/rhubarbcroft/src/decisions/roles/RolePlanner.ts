/** Decides which engine of a group changes its role next, if any. Only one change is in progress at a time. */
import type Demand from './Demand.js';
import type EngineView from './EngineView.js';
import type RoleChange from './RoleChange.js';

abstract class RolePlanner {
  abstract plan(
    engines: readonly EngineView[],
    demand: Demand,
    nowMs: number,
  ): RoleChange | undefined;

  /** Records that a planned change has started. */
  abstract recordChange(change: RoleChange, nowMs: number): void;
}

export default RolePlanner;
