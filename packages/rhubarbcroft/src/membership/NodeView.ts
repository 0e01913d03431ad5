/** Another entry VM as its last heartbeat described it. */
interface NodeView {
  readonly nodeId: string;
  readonly incarnation: string;
  readonly domain: string;
  /** The version of the fleet document in force there. */
  readonly configurationVersion: number;
  readonly leaving: boolean;
  /** The demand at the node for each model, in tokens per second. */
  readonly demand: readonly {
    readonly model: string;
    readonly promptTokensPerS: number;
    readonly outputTokensPerS: number;
  }[];
  /** When the last heartbeat was received, on the clock of this node. */
  readonly heardAtMs: number;
}

export default NodeView;
