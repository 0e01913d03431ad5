/** Reads the platform's VM list over HTTP. */
import type Result from 'true-myth/result';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import type PlatformClient from './PlatformClient.js';
import type Vm from './Vm.js';
import VmList from './VmList.js';

export default class HttpVmList extends VmList {
  readonly #client: PlatformClient;

  constructor(client: PlatformClient) {
    super();
    this.#client = client;
  }

  override async read(): Promise<Result<readonly Vm[], Failure>> {
    const response = await this.#client.send({ method: 'GET', path: '/v1/vms' });
    return response.map(
      ({ body }) => JSON.parse(Buffer.from(body).toString('utf8')) as readonly Vm[],
    );
  }
}
