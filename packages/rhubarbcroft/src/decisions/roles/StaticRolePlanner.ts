/** Never changes the role of an engine. */
import RolePlanner from './RolePlanner.js';

export default class StaticRolePlanner extends RolePlanner {
  override plan(): undefined {
    return undefined;
  }

  override recordChange(): void {}
}
