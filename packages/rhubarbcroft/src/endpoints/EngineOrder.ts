/** An order that changes the role of an engine or the model that it serves. */
type EngineOrder =
  | { readonly type: 'role'; readonly role: 'prefill' | 'decode' | 'mixed' }
  | { readonly type: 'model'; readonly model: string; readonly modelVersion: string };

export default EngineOrder;
