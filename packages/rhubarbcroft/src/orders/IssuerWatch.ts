/**
 * Tells whether the process that issued an order is certainly gone, so that nothing it has prepared can
 * still be sent: its VM has been off the list for longer than the list lags, or a newer process of the
 * same VM has bound that VM's peer address. Elapsed time alone is no proof, since a paused process can
 * resume between its check and its send.
 */
import type NodeDirectory from '../membership/NodeDirectory.js';
import type VmRegistry from '../membership/VmRegistry.js';

export default class IssuerWatch {
  readonly #directory: NodeDirectory;

  readonly #vms: VmRegistry;

  constructor(directory: NodeDirectory, vms: VmRegistry) {
    this.#directory = directory;
    this.#vms = vms;
  }

  isGone(issuer: string): boolean {
    const [nodeId, incarnation] = issuer.split('/');
    if (nodeId === this.#directory.own.nodeId) {
      return incarnation !== this.#directory.own.incarnation;
    }
    const seen = this.#directory.get(nodeId);
    const replaced = seen !== undefined && seen.incarnation !== incarnation;
    return replaced || this.#vms.isGone(nodeId);
  }
}
