/** Serves `GET /v1/models`: lists the models of the fleet document in the OpenAI format. */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type CallerContext from './CallerContext.js';
import type HttpExchange from './HttpExchange.js';
import HttpHandler from './HttpHandler.js';
import sendJson from './sendJson.js';

export default class ModelListHandler extends HttpHandler {
  readonly #context: CallerContext;

  constructor(context: CallerContext) {
    super();
    this.#context = context;
  }

  override async handle({ request, response }: HttpExchange): Promise<Result<void, Failure>> {
    const identity = this.#context.authenticator.authenticate(request.headers.authorization);
    if (identity.isErr) {
      return err(identity.error);
    }
    const names = [...(this.#context.currentFleet.current?.modelsByName.keys() ?? [])];
    const data = names.map((id) => ({ id, object: 'model', owned_by: 'rhubarbcroft' }));
    sendJson(response, 200, { object: 'list', data });
    return ok(undefined);
  }
}
