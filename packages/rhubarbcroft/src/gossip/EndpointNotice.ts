/** What a node reports to its peers about an endpoint: a prompt that it dispatched there, or a failed connection. */
import type DispatchedPrompt from './DispatchedPrompt.js';

type EndpointNotice =
  | { readonly type: 'sent'; readonly prompt: DispatchedPrompt }
  | { readonly type: 'unreachable'; readonly instanceId: string };

export default EndpointNotice;
