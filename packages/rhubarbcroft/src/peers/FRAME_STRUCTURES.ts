/**
 * The field names of frequent peer messages, in the order in which their values are encoded. Both sides have
 * this list, so that a frame carries the values only; a message with other fields carries its field names.
 */
const FRAME_STRUCTURES: readonly (readonly string[])[] = [
  ['type', 'nodeId', 'incarnation', 'domain', 'configurationVersion', 'leaving', 'demand'],
  [
    'type',
    'nodeId',
    'incarnation',
    'domain',
    'configurationVersion',
    'leaving',
    'demand',
    'isReply',
  ],
  ['model', 'promptTokensPerS', 'outputTokensPerS'],
  ['type', 'reports'],
  [
    'endpointId',
    'bootId',
    'role',
    'changing',
    'leaving',
    'ageMs',
    'slots',
    'prefillTokensPerS',
    'running',
    'queuedPromptTokens',
    'pendingOutputTokens',
  ],
  ['type', 'sends'],
  ['endpointId', 'rank', 'promptTokens', 'ageMs'],
];

export default FRAME_STRUCTURES;
