/** A request to a model, independent of the caller's protocol. */
import type Work from '../decisions/Work.js';

interface ModelRequest {
  readonly work: Work;
  readonly account: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Identifies identical requests, for finding those that crash engines. */
  readonly fingerprint: string;
  /** The selector of the placement rule that applies; empty when there is none. */
  readonly where: string;
  /** The region that the placement rule names, if any. */
  readonly region: string | undefined;
}

export default ModelRequest;
