/** Counts the bytes and frames that this node exchanges with its peers; reported in the state dump. */
export default class PeerTraffic {
  #sentBytes = 0;

  #sentFrames = 0;

  #receivedBytes = 0;

  recordSent(bytes: number): void {
    this.#sentBytes += bytes;
    this.#sentFrames += 1;
  }

  recordReceived(bytes: number): void {
    this.#receivedBytes += bytes;
  }

  dumpState(): unknown {
    return {
      sentBytes: this.#sentBytes,
      sentFrames: this.#sentFrames,
      receivedBytes: this.#receivedBytes,
    };
  }
}
