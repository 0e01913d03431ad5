/** A planned role change of one engine. */
import type EngineRole from '@rhubarbcroft/protocol/fleet/EngineRole';

interface RoleChange {
  readonly engineId: string;
  readonly role: EngineRole;
}

export default RoleChange;
