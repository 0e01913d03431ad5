/** What a node reports to its peers about an endpoint: a prompt that it dispatched there, or a failed connection. */
import type PromptNotice from './PromptNotice.js';

type EndpointNotice =
  | { readonly type: 'sent'; readonly prompt: PromptNotice }
  | { readonly type: 'unreachable'; readonly instanceId: string };

export default EndpointNotice;
