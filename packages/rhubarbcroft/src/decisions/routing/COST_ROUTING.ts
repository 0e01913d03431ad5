/** Options of the daemon's CostRouter, without those that depend on the node's own location. */
const COST_ROUTING = {
  blockTokens: 2_000,
  sampleSize: 5,
  kvTransferMsPerToken: 0.005,
} as const;

export default COST_ROUTING;
