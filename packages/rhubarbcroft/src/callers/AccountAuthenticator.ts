/** Finds the client account of a key in one version of the routing document. */
import type ClientAccount from '../routes/ClientAccount.js';
import Authenticator from './Authenticator.js';

export default class AccountAuthenticator extends Authenticator<ClientAccount> {
  readonly #accounts: ReadonlyMap<string, ClientAccount>;

  constructor(accounts: readonly ClientAccount[]) {
    super();
    this.#accounts = new Map(
      accounts.flatMap((account) => account.keyHashes.map((hash) => [hash, account] as const)),
    );
  }

  protected override readKey(key: string): string {
    return key;
  }

  protected override findByHash(hash: string): ClientAccount | undefined {
    return this.#accounts.get(hash);
  }
}
