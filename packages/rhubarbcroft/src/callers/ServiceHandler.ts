/** Serves `/services/NAME/...`: forwards a call to an endpoint of the service and returns its answer. */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import type ServiceRequest from '../dispatch/ServiceRequest.js';
import type CallerContext from './CallerContext.js';
import type HttpExchange from './HttpExchange.js';
import HttpHandler from './HttpHandler.js';
import type CallerIdentity from './CallerIdentity.js';

const FORWARDED_HEADERS = ['accept', 'content-type', 'idempotency-key'];
/** Converts the size of a body to tokens, the unit of account limits. */
const BYTES_PER_TOKEN = 4;
/** The output that is assumed for the cost of a call. */
const CALL_OUTPUT_TOKENS = 16;
const MAX_KEY_LENGTH = 255;

export default class ServiceHandler extends HttpHandler {
  readonly #context: CallerContext;

  constructor(context: CallerContext) {
    super();
    this.#context = context;
  }

  override async handle(
    exchange: HttpExchange,
    params: Readonly<Record<string, string | undefined>>,
  ): Promise<Result<void, Failure>> {
    const { authenticator, settings, services, gates, gateFactory } = this.#context;
    const identity = authenticator.authenticate(exchange.request.headers.authorization);
    if (identity.isErr) {
      return err(identity.error);
    }
    const body = await exchange.body.read(settings.callers);
    if (body.isErr) {
      return err(body.error);
    }
    const request = this.#createRequest(exchange, params, identity.value, body.value);
    if (request.isErr) {
      return err(request.error);
    }
    const { service, where } = request.value;
    const gate = gates.resolve(`service\n${service}\n${where}`, () =>
      gateFactory.createServiceGate({ name: service, where, region: undefined }),
    );
    const served = await services.serve(request.value, gate, exchange.signal);
    if (served.isErr) {
      return err(served.error);
    }
    const { answer, endpointId, replayed } = served.value;
    exchange.response.writeHead(answer.status, {
      'content-type': answer.contentType,
      'content-length': answer.body.length,
      'rhubarb-ran': 'ran',
      'rhubarb-endpoint': endpointId,
      'rhubarb-replayed': String(replayed),
    });
    exchange.response.end(answer.body);
    return ok(undefined);
  }

  /** Resolves the attributes of the call and charges its body to the account. */
  #createRequest(
    { request, requestId }: HttpExchange,
    params: Readonly<Record<string, string | undefined>>,
    identity: CallerIdentity,
    body: Buffer,
  ): Result<ServiceRequest, Failure> {
    const { currentFleet, limits, clock, fingerprinter } = this.#context;
    const { attributeResolver: resolver } = this.#context;
    if (currentFleet.current === undefined) {
      return err(createFailure('CONFIGURATION_ABSENT', 'the node has no fleet document yet'));
    }
    const name = params.service ?? '';
    const service = currentFleet.current.servicesByName.get(name);
    if (service === undefined) {
      return err(createFailure('UNKNOWN_SERVICE', `"${name}"`));
    }
    const method = request.method ?? 'GET';
    const labels = { service: name, method, account: identity.account, team: identity.team };
    const resolved = resolver.resolve(request.headers, labels);
    if (resolved.isErr) {
      return err(resolved.error);
    }
    const { kind, rank, arrivedAtMs, deadlineAtMs, where } = resolved.value;
    const promptTokens = Math.ceil(body.length / BYTES_PER_TOKEN);
    const waitMs = limits.spend(identity.account, promptTokens, identity.tokensPerS, clock.nowMs());
    if (waitMs > 0) {
      return err(createFailure('ACCOUNT_LIMIT', `account ${identity.account}`, 'not_run', waitMs));
    }
    const path = `/${params['*'] ?? ''}${ServiceHandler.#readQuery(request.url)}`;
    const headers = Object.fromEntries(
      FORWARDED_HEADERS.flatMap((header) => {
        const value = request.headers[header];
        return typeof value === 'string' ? [[header, value]] : [];
      }),
    );
    const key = headers['idempotency-key'];
    if (key !== undefined && key.length > MAX_KEY_LENGTH) {
      return err(
        createFailure('HEADER_TOO_LARGE', `idempotency-key exceeds ${MAX_KEY_LENGTH} characters`),
      );
    }
    const size = { promptTokens, outputTokens: CALL_OUTPUT_TOKENS };
    return ok({
      work: { requestId, kind, rank, ...size, prefixKeys: [], arrivedAtMs, deadlineAtMs },
      account: identity.account,
      service: name,
      call: {
        requestId,
        method,
        path,
        headers,
        body,
        repeatable: service.idempotentMethods.includes(method),
      },
      fingerprint: fingerprinter.compute(name, method, path, body),
      idempotencyKey: key,
      where,
    });
  }

  static #readQuery(url: string | undefined): string {
    const start = url?.indexOf('?') ?? -1;
    return start === -1 ? '' : (url ?? '').slice(start);
  }
}
