/** Client of the administration API of one entry VM. Failures carry the result code that the API sent. */
import { readFileSync } from 'node:fs';
import { Agent, getGlobalDispatcher, request } from 'undici';
import type { Dispatcher } from 'undici';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import RESULT_CODES from '@rhubarbcroft/protocol/results/RESULT_CODES';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type ResultCodeName from '@rhubarbcroft/protocol/results/ResultCodeName';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';

interface AdminClientOptions {
  readonly url: string;
  readonly token: string;
  /**
   * Path of a PEM certificate to trust in place of the default certificate authorities; empty for
   * the defaults.
   */
  readonly ca?: string;
}

interface ErrorBody {
  readonly error?: { readonly code: string; readonly message: string };
}

const TIMEOUT_MS = 10_000;
const MIN_ERROR_STATUS = 400;

export default class AdminClient {
  readonly #options: AdminClientOptions;

  constructor(options: AdminClientOptions) {
    this.#options = options;
  }

  async send<ResponseBody>(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<Result<ResponseBody, Failure>> {
    try {
      const response = await request(`${this.#options.url}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${this.#options.token}`,
          'content-type': 'application/json',
        },
        body: body === undefined ? null : JSON.stringify(body),
        dispatcher: this.#createDispatcher(),
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const responseBody = (await response.body.json()) as ResponseBody & ErrorBody;
      return response.statusCode < MIN_ERROR_STATUS
        ? ok(responseBody)
        : err(AdminClient.#toFailure(responseBody));
    } catch (error) {
      return err(
        createFailure('PLATFORM_UNAVAILABLE', `${this.#options.url}: ${(error as Error).message}`),
      );
    }
  }

  #createDispatcher(): Dispatcher {
    const { ca = '' } = this.#options;
    return ca === ''
      ? getGlobalDispatcher()
      : new Agent({ connect: { ca: readFileSync(ca, 'utf8') } });
  }

  static #toFailure({ error }: ErrorBody): Failure {
    const code = error?.code ?? 'INTERNAL';
    const known = code in RESULT_CODES ? (code as ResultCodeName) : 'INTERNAL';
    const { text } = RESULT_CODES[known];
    const message = error?.message ?? 'the response contains no error message';
    return createFailure(
      known,
      message.startsWith(`${text}: `) ? message.slice(text.length + 2) : message,
    );
  }
}
