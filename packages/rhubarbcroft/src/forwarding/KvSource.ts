/** A finished prefill whose KV cache waits at an engine to be fetched once. */
interface KvSource {
  readonly address: string;
  readonly handle: string;
}

export default KvSource;
