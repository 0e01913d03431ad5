/** The operator writes a newer configuration with an additional route. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

export default class ConfigurationChange extends Fault {
  override readonly name = 'configuration change';

  override inject(world: SoakWorld): () => Promise<void> {
    world.writeConfiguration();
    return async () => undefined;
  }
}
