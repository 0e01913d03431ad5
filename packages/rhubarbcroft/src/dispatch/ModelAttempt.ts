/**
 * Runs one attempt at a model request: the prefill on another engine if the route names one, then the
 * token stream from the engine to the sink.
 */
import type Result from 'true-myth/result';
import { err, ok } from 'true-myth/result';
import type AttemptFailure from '../endpoints/AttemptFailure.js';
import type EndpointRegistry from '../endpoints/EndpointRegistry.js';
import type EngineRequest from '../endpoints/EngineRequest.js';
import type EngineStream from '../endpoints/EngineStream.js';
import type Clock from '../supervision/Clock.js';
import type Metrics from '../telemetry/Metrics.js';
import type AnswerSink from './AnswerSink.js';
import type AttemptProgress from './AttemptProgress.js';
import type DispatchGate from './DispatchGate.js';
import type DispatchTicket from './DispatchTicket.js';
import type ModelRequest from './ModelRequest.js';

interface ModelAttemptOptions {
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

interface AttemptInput {
  readonly request: ModelRequest;
  readonly gate: DispatchGate;
  readonly ticket: DispatchTicket;
  /** Tokens that earlier attempts have already written to the caller. */
  readonly deliveredTokens: number;
  readonly sink: AnswerSink;
}

/** Only an endpoint that was not reached, or that rejected the request, has certainly not started it. */
function mayHaveStarted({ kind }: AttemptFailure): boolean {
  return kind !== 'unsent' && kind !== 'rejected';
}

export default class ModelAttempt {
  readonly #options: ModelAttemptOptions;

  constructor(options: ModelAttemptOptions) {
    this.#options = options;
  }

  /** Resolves when the answer is complete or the attempt has failed. A stream that fails is closed and cancelled at its engine. */
  async run(input: AttemptInput, signal: AbortSignal): Promise<AttemptProgress> {
    const { ticket, deliveredTokens: delivered } = input;
    const { endpointId, prefillId } = ticket.route;
    const engine = this.#options.registry.get(endpointId)?.engine;
    if (engine === undefined) {
      const failure: AttemptFailure = {
        kind: 'unsent',
        detail: 'the endpoint is no longer in the fleet',
      };
      return { deliveredTokens: delivered, started: false, failedEndpointId: endpointId, failure };
    }
    const engineRequest = await this.#prepare(input, signal);
    if (engineRequest.isErr) {
      const failure = engineRequest.error;
      return {
        deliveredTokens: delivered,
        started: mayHaveStarted(failure),
        failedEndpointId: prefillId ?? endpointId,
        failure,
      };
    }
    const stream = await engine.openStream(engineRequest.value, signal);
    if (stream.isErr) {
      const started = prefillId !== undefined || mayHaveStarted(stream.error);
      return {
        deliveredTokens: delivered,
        started,
        failedEndpointId: endpointId,
        failure: stream.error,
      };
    }
    const progress = await this.#relay(input, stream.value, signal);
    if (progress.failure !== undefined) {
      stream.value.close();
      void engine.cancel(ticket.attemptId);
    }
    return progress;
  }

  /** Builds the engine request; runs the prefill first if the route names an engine for it, for a KV transfer from there. */
  async #prepare(
    { request, ticket, deliveredTokens: delivered }: AttemptInput,
    signal: AbortSignal,
  ): Promise<Result<EngineRequest, AttemptFailure>> {
    const engineRequest: EngineRequest = {
      attemptId: ticket.attemptId,
      model: request.model,
      prompt: request.prompt,
      maxTokens: request.maxTokens,
      priority: ticket.priority,
      resumeFrom: delivered,
    };
    const { prefillId } = ticket.route;
    if (prefillId === undefined) {
      return ok(engineRequest);
    }
    const prefill = this.#options.registry.get(prefillId);
    if (prefill?.engine === undefined) {
      return err({ kind: 'unsent', detail: 'the endpoint is no longer in the fleet' });
    }
    const handle = await prefill.engine.prefill(engineRequest, signal);
    const { url } = prefill.state.declaration;
    return handle.map((value) => ({ ...engineRequest, importKv: { url, handle: value } }));
  }

  /** Copies tokens from the engine to the sink until the answer is complete or the attempt ends. */
  async #relay(
    { request, gate, ticket, deliveredTokens: alreadyDelivered, sink }: AttemptInput,
    stream: EngineStream,
    signal: AbortSignal,
  ): Promise<AttemptProgress> {
    const engineId = ticket.route.endpointId;
    let delivered = alreadyDelivered;
    while (true) {
      const events = await stream.read();
      if (events.isErr) {
        return {
          deliveredTokens: delivered,
          started: true,
          failedEndpointId: engineId,
          failure: events.error,
        };
      }
      const texts = events.value.flatMap((event) => (event.type === 'token' ? [event.text] : []));
      if (texts.length > 0) {
        if (delivered === 0) {
          sink.begin(engineId);
          this.#recordFirstToken(request);
        }
        await sink.write(texts);
        delivered += texts.length;
      }
      if (events.value.some((event) => event.type === 'done')) {
        return {
          deliveredTokens: delivered,
          started: true,
          failedEndpointId: engineId,
          failure: undefined,
        };
      }
      const end = this.#findReasonToEnd(gate, engineId, signal);
      if (end !== undefined) {
        return {
          deliveredTokens: delivered,
          started: true,
          failedEndpointId: engineId,
          failure: end,
        };
      }
    }
  }

  /** Returns why a working stream must end at this engine: the caller disconnected, or the endpoint is leaving. */
  #findReasonToEnd(
    gate: DispatchGate,
    endpointId: string,
    signal: AbortSignal,
  ): AttemptFailure | undefined {
    if (signal.aborted) {
      return { kind: 'broken', detail: 'the caller disconnected' };
    }
    if (this.#options.registry.isHandoverDue(endpointId) && gate.hasAlternativeTo(endpointId)) {
      return { kind: 'moved', detail: 'the endpoint is leaving and another one is available' };
    }
    return undefined;
  }

  #recordFirstToken({ work }: ModelRequest): void {
    const { clock, metrics } = this.#options;
    metrics.timing('first_token_ms', clock.nowMs() - work.arrivedAtMs, {
      rank: work.rank,
      kind: work.kind,
    });
  }
}
