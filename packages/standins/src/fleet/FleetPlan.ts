/** The nodes, endpoints and configuration of a local fleet. */
import type EndpointPlan from './EndpointPlan.js';
import type NodePlan from './NodePlan.js';
import type RelayPlan from './RelayPlan.js';

type SettingsSections = Readonly<
  Record<string, Readonly<Record<string, string | number | boolean>>>
>;

interface FleetPlan {
  readonly nodes: readonly NodePlan[];
  readonly endpoints: readonly EndpointPlan[];
  /** The sections of the fleet document other than `endpoints`. */
  readonly document: Readonly<Record<string, unknown>>;
  /** Settings that differ from the defaults of a local fleet, by section. */
  readonly settings?: SettingsSections;
  /** The connections that pass through relays; by default none. */
  readonly relays?: RelayPlan;
}

export default FleetPlan;
