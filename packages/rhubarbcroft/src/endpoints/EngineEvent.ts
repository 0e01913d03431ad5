/**
 * An event of an engine's answer. `index` is the token's offset in the whole answer, from 0; `tokens` is the
 * number of tokens of the whole answer.
 */
type EngineEvent =
  | { readonly type: 'token'; readonly index: number; readonly text: string }
  | { readonly type: 'done'; readonly tokens: number };

export default EngineEvent;
