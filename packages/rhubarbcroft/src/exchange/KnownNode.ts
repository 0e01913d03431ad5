/** A node as the platform's list has it. */
interface KnownNode {
  /** Its address for peers: IP and port. */
  readonly address: string;
  readonly domain: string;
}

export default KnownNode;
