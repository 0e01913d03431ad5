/** A forwarding node as it stands in the platform's node list. */
interface ListedNode {
  /** The address at which it accepts peers, as `ip:port`. */
  readonly address: string;
  /** Its failure domain. */
  readonly domain: string;
}

export default ListedNode;
