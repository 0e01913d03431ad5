/** What the system tells an endpoint beside the caller's own headers. */
import type KvSource from './KvSource.js';

interface SendInstructions {
  readonly requestId: string;
  /** Only this instance may run the request. */
  readonly instanceId: string;
  /** What is left of the time that the caller waits. */
  readonly deadlineMs: number;
  readonly lastEventId: string | undefined;
  /** 0 is the most urgent; undefined for plain services. */
  readonly priority: number | undefined;
  /** Prefill only: the answer names the KV cache instead of generating. */
  readonly prefillOnly: boolean;
  /** IP address and port of an engine from whose KV cache shared parts are copied first. */
  readonly copyFromAddress: string | undefined;
  /** The prefill to continue from. */
  readonly kvSource: KvSource | undefined;
}

export default SendInstructions;
