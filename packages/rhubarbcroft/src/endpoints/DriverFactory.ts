/** Creates the drivers of endpoints. A new endpoint protocol needs its own drivers and a factory for them. */
import type EngineDriver from './EngineDriver.js';
import type ServiceDriver from './ServiceDriver.js';

abstract class DriverFactory {
  abstract createEngine(endpointId: string, url: string): EngineDriver;

  abstract createService(endpointId: string, url: string): ServiceDriver;
}

export default DriverFactory;
