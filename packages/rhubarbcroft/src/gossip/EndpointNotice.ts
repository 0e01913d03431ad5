/**
 * What a node reports to its peers about an endpoint: a prompt that it dispatched there, a failed connection, a changed
 * pace, or what it has learned about a crash.
 */
import type CrashReport from '../decisions/poison/CrashReport.js';
import type PaceNotice from '../decisions/pace/PaceNotice.js';
import type PartTrial from '../decisions/poison/PartTrial.js';
import type DispatchedPrompt from './DispatchedPrompt.js';

type EndpointNotice =
  | { readonly type: 'sent'; readonly prompt: DispatchedPrompt }
  | { readonly type: 'pace'; readonly pace: PaceNotice }
  | { readonly type: 'unreachable'; readonly instanceId: string }
  | { readonly type: 'crash'; readonly report: CrashReport }
  | { readonly type: 'trial'; readonly trial: PartTrial };

export default EndpointNotice;
