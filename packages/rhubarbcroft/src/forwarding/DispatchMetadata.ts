/** Metadata that the system adds to the caller's headers when it dispatches a request to an endpoint. */
import type KvSource from './KvSource.js';

interface DispatchMetadata {
  readonly requestId: string;
  /** The client account of the request. */
  readonly account?: string | undefined;
  /** Only this instance may run the request. */
  readonly instanceId: string;
  /** Remaining time until the deadline of the request. */
  readonly deadlineMs: number;
  /** The id of the event after which a stream resumes. */
  readonly lastEventId: string | undefined;
  /** 0 is the most urgent; undefined for plain services. */
  readonly priority: number | undefined;
  /** Whether the engine only prefills: its answer then has a KV cache handle instead of generated tokens. */
  readonly prefillOnly: boolean;
  /** IP address and port of an engine from whose KV cache shared parts are copied before the prefill. */
  readonly copyFromAddress: string | undefined;
  /** The finished prefill to continue from. */
  readonly kvSource: KvSource | undefined;
}

export default DispatchMetadata;
