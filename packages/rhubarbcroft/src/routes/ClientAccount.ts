/**
 * A client account and the keys by which its callers identify themselves. Only SHA-256 hashes of the keys are kept and
 * exchanged between nodes, as lowercase hexadecimal text.
 */
interface ClientAccount {
  readonly name: string;
  /** Priority of the account's requests, 0 the most urgent; undefined leaves them at the rank of their route. */
  readonly rank: number | undefined;
  readonly keyHashes: readonly string[];
}

export default ClientAccount;
