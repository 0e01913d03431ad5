/** What a node tells its peers of an endpoint: a prompt that it has sent there, or that it cannot be reached. */
import type PromptNotice from './PromptNotice.js';

type EndpointNotice =
  | { readonly type: 'sent'; readonly prompt: PromptNotice }
  | { readonly type: 'unreachable'; readonly instanceId: string };

export default EndpointNotice;
