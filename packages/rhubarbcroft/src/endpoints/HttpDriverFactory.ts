/** Creates HTTP drivers with the time-outs and size limits of the settings. */
import type Settings from '@rhubarbcroft/protocol/settings/Settings';
import DriverFactory from './DriverFactory.js';
import type EngineDriver from './EngineDriver.js';
import HttpEngineDriver from './HttpEngineDriver.js';
import HttpServiceDriver from './HttpServiceDriver.js';
import type ServiceDriver from './ServiceDriver.js';

export default class HttpDriverFactory extends DriverFactory {
  readonly #settings: Settings;

  constructor(settings: Settings) {
    super();
    this.#settings = settings;
  }

  override createEngine(endpointId: string, url: string): EngineDriver {
    return new HttpEngineDriver(endpointId, url, this.#settings.endpoints);
  }

  override createService(endpointId: string, url: string): ServiceDriver {
    return new HttpServiceDriver(endpointId, url, {
      connectTimeoutMs: this.#settings.endpoints.connectTimeoutMs,
      maxAnswerBytes: this.#settings.callers.maxBodyBytes,
    });
  }
}
