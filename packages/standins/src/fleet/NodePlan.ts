/** An entry VM of a local fleet, on which a daemon runs. */
interface NodePlan {
  readonly id: string;
  readonly domain: string;
  readonly region: string;
}

export default NodePlan;
