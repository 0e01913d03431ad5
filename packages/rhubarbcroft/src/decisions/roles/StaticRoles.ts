/** Never changes the role of an engine. */
import RolePlanner from './RolePlanner.js';

export default class StaticRoles extends RolePlanner {
  override plan(): undefined {
    return undefined;
  }

  override noteChange(): void {}
}
