/** The operator writes a newer configuration with more routes. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

export default class ConfigurationChange extends Fault {
  override readonly name = 'configuration change';

  override begin(world: SoakWorld): () => Promise<void> {
    world.writeConfiguration();
    return async () => undefined;
  }
}
