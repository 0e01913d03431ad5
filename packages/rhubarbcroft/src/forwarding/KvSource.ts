/** A finished prefill whose KV cache an engine keeps for a single KV transfer. */
interface KvSource {
  /** IP address and port of the engine. */
  readonly address: string;
  /** Identifies the KV cache at the engine. */
  readonly handle: string;
}

export default KvSource;
