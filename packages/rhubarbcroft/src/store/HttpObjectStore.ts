/** Accesses the platform's object store over HTTP. */
import { ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import ObjectStore from './ObjectStore.js';
import type PlatformClient from './PlatformClient.js';

const STATUS_NOT_FOUND = 404;

export default class HttpObjectStore extends ObjectStore {
  readonly #client: PlatformClient;

  constructor(client: PlatformClient) {
    super();
    this.#client = client;
  }

  override async put(key: string, value: Uint8Array): Promise<Result<void, Failure>> {
    const path = `/v1/objects/${encodeURIComponent(key)}`;
    const response = await this.#client.send({ method: 'PUT', path, body: value });
    return response.andThen(() => ok(undefined));
  }

  override async get(key: string): Promise<Result<Uint8Array | undefined, Failure>> {
    const path = `/v1/objects/${encodeURIComponent(key)}`;
    const response = await this.#client.send({ method: 'GET', path });
    return response.map(({ status, body }) => (status === STATUS_NOT_FOUND ? undefined : body));
  }
}
