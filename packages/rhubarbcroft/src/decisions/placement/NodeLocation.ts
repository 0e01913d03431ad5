/** The failure domain of a node, and the region of each failure domain. */
interface NodeLocation {
  readonly domain: string;
  readonly regionsByDomain: Readonly<Record<string, string>>;
}

export default NodeLocation;
