/** Serves `/v1/completions` and `/v1/chat/completions`. */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import estimateCost from '../decisions/estimateCost.js';
import COST_ROUTING from '../decisions/routing/COST_ROUTING.js';
import type ModelRequest from '../dispatch/ModelRequest.js';
import type CallerContext from './CallerContext.js';
import type CompletionBody from './CompletionBody.js';
import type HttpExchange from './HttpExchange.js';
import HttpHandler from './HttpHandler.js';
import type CallerIdentity from './CallerIdentity.js';
import StreamedCompletion from './StreamedCompletion.js';
import BufferedCompletion from './BufferedCompletion.js';
import parseCompletionBody from './parseCompletionBody.js';

/** The average length of a token, from which the tokens of a prompt are estimated. */
const CHARS_PER_TOKEN = 4;
const MS_PER_S = 1_000;

export default class CompletionHandler extends HttpHandler {
  readonly #context: CallerContext;

  readonly #chat: boolean;

  constructor(context: CallerContext, chat: boolean) {
    super();
    this.#context = context;
    this.#chat = chat;
  }

  override async handle(exchange: HttpExchange): Promise<Result<void, Failure>> {
    const { authenticator, settings, models, gates, gateFactory } = this.#context;
    const identity = authenticator.authenticate(exchange.request.headers.authorization);
    if (identity.isErr) {
      return err(identity.error);
    }
    const bytes = await exchange.body.read(settings.callers);
    if (bytes.isErr) {
      return err(bytes.error);
    }
    const body = parseCompletionBody(bytes.value, this.#chat);
    if (body.isErr) {
      return err(body.error);
    }
    const request = this.#createRequest(exchange, identity.value, body.value);
    if (request.isErr) {
      return err(request.error);
    }
    const { model, where, region, work } = request.value;
    const gate = gates.resolve(`model\n${model}\n${where}\n${region ?? ''}`, () =>
      gateFactory.createModelGate({ name: model, where, region }),
    );
    const sink = this.#createSink(exchange, body.value);
    const served = await models.serve(request.value, gate, sink, exchange.signal);
    if (served.isErr) {
      sink.fail(served.error);
      return ok(undefined);
    }
    sink.finish(served.value.tokens, work.promptTokens);
    return ok(undefined);
  }

  /** Resolves the attributes of the request and charges its estimated cost to the account. */
  #createRequest(
    exchange: HttpExchange,
    identity: CallerIdentity,
    body: CompletionBody,
  ): Result<ModelRequest, Failure> {
    const {
      currentFleet,
      attributeResolver: resolver,
      limits,
      clock,
      fingerprinter,
    } = this.#context;
    if (currentFleet.current === undefined) {
      return err(createFailure('CONFIGURATION_ABSENT', 'the node has no fleet document yet'));
    }
    if (!currentFleet.current.modelsByName.has(body.model)) {
      return err(createFailure('UNKNOWN_MODEL', `"${body.model}"`));
    }
    const labels = { model: body.model, account: identity.account, team: identity.team };
    const resolved = resolver.resolve(exchange.request.headers, labels);
    if (resolved.isErr) {
      return err(resolved.error);
    }
    const { kind, rank, arrivedAtMs, deadlineAtMs, where, region } = resolved.value;
    const promptTokens = Math.ceil(body.prompt.length / CHARS_PER_TOKEN);
    const size = { promptTokens, outputTokens: body.maxTokens };
    const waitMs = limits.spend(
      identity.account,
      estimateCost(size),
      identity.tokensPerS,
      clock.nowMs(),
    );
    if (waitMs > 0) {
      return err(createFailure('ACCOUNT_LIMIT', `account ${identity.account}`, 'not_run', waitMs));
    }
    const prefixKeys = fingerprinter.computePrefixKeys(
      body.model,
      body.prompt,
      COST_ROUTING.blockTokens * CHARS_PER_TOKEN,
    );
    return ok({
      work: {
        requestId: exchange.requestId,
        kind,
        rank,
        ...size,
        prefixKeys,
        arrivedAtMs,
        deadlineAtMs,
      },
      account: identity.account,
      model: body.model,
      prompt: body.prompt,
      maxTokens: body.maxTokens,
      fingerprint: fingerprinter.compute(body.model, body.prompt),
      where,
      region,
    });
  }

  #createSink(
    { response, requestId, signal }: HttpExchange,
    body: CompletionBody,
  ): StreamedCompletion | BufferedCompletion {
    const createdAtS = Math.floor(Date.now() / MS_PER_S);
    const metadata = { id: requestId, model: body.model, createdAtS, chat: this.#chat };
    return body.stream
      ? new StreamedCompletion(
          response,
          metadata,
          signal,
          this.#context.settings.callers.readTimeoutMs,
        )
      : new BufferedCompletion(response, metadata);
  }
}
