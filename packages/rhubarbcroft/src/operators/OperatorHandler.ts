/** The base of the administration API's handlers: checks the operator's scope, then responds with JSON. */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type HttpExchange from '../callers/HttpExchange.js';
import HttpHandler from '../callers/HttpHandler.js';
import sendJson from '../callers/sendJson.js';
import type OperatorContext from './OperatorContext.js';

type Scope = Parameters<OperatorContext['authenticator']['authorize']>[1];
type Params = Readonly<Record<string, string | undefined>>;

abstract class OperatorHandler extends HttpHandler {
  protected readonly context: OperatorContext;

  readonly #scope: Scope;

  constructor(context: OperatorContext, scope: Scope) {
    super();
    this.context = context;
    this.#scope = scope;
  }

  override async handle(exchange: HttpExchange, params: Params): Promise<Result<void, Failure>> {
    const operator = this.context.authenticator.authorize(
      exchange.request.headers.authorization,
      this.#scope,
    );
    if (operator.isErr) {
      return err(operator.error);
    }
    const answer = await this.answer(exchange, operator.value, params);
    if (answer.isErr) {
      return err(answer.error);
    }
    sendJson(exchange.response, 200, answer.value);
    return ok(undefined);
  }

  /** Computes the JSON body of the response. */
  protected abstract answer(
    exchange: HttpExchange,
    operator: string,
    params: Params,
  ): Promise<Result<unknown, Failure>>;
}

export default OperatorHandler;
