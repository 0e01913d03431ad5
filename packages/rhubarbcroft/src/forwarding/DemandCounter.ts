/**
 * Counts the demand for each service at this node, from the placements that are chosen on arrival. Requests that are
 * refused are demand too.
 */
import type EngineSpeeds from '../decisions/placement/EngineSpeeds.js';
import DemandSource from '../duties/DemandSource.js';
import type ServiceDemand from '../duties/ServiceDemand.js';
import type ForwardRequest from './ForwardRequest.js';
import type Placement from './Placement.js';

/** A prompt length by which the time of a prefill is converted into tokens that take as long on a prefill engine. */
const SAMPLE_TOKENS = 1_000;

export default class DemandCounter extends DemandSource {
  readonly #speeds: EngineSpeeds;

  readonly #counts = new Map<string, ServiceDemand>();

  constructor(speeds: EngineSpeeds) {
    super();
    this.#speeds = speeds;
  }

  override read(): readonly ServiceDemand[] {
    return [...this.#counts.values()];
  }

  /** Counts a request on its arrival. `placement` is undefined when no engine can take it. */
  record(request: ForwardRequest, placement: Placement | undefined, isRefused: boolean): void {
    const { service, prompt } = request;
    const known = this.#counts.get(service);
    this.#counts.set(service, {
      service,
      requests: (known?.requests ?? 0) + 1,
      prefillTokens: (known?.prefillTokens ?? 0) + this.#countPrefillTokens(request, placement),
      memoryTokens:
        (known?.memoryTokens ?? 0) +
        (prompt === undefined ? 0 : Math.round(prompt.promptTokens + prompt.outputTokens)),
      outputTokens: (known?.outputTokens ?? 0) + Math.round(prompt?.outputTokens ?? 0),
      refused: (known?.refused ?? 0) + (isRefused ? 1 : 0),
    });
  }

  #countPrefillTokens({ prompt }: ForwardRequest, placement: Placement | undefined): number {
    if (prompt === undefined) {
      return 0;
    }
    if (placement === undefined) {
      return prompt.promptTokens;
    }
    const { stage = 'decode' } = (placement.prefill ?? placement.target).instance;
    const sampleMs = this.#speeds.estimatePrefillMs(stage, SAMPLE_TOKENS, 0);
    return Math.round((placement.prefillMs / sampleMs) * SAMPLE_TOKENS);
  }
}
