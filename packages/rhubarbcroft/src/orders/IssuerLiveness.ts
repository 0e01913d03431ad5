/**
 * Checks whether the process that issued an order has certainly ended, so that it can no longer send the
 * order. That holds when its VM has been absent from the VM list for longer than the list lags, or when
 * another incarnation runs on the VM, since only one process of a VM can bind the VM's peer address.
 * Elapsed time alone proves nothing: a paused process can resume between checking its lease and sending.
 */
import type NodeDirectory from '../membership/NodeDirectory.js';
import type VmRegistry from '../membership/VmRegistry.js';

export default class IssuerLiveness {
  readonly #directory: NodeDirectory;

  readonly #vms: VmRegistry;

  constructor(directory: NodeDirectory, vms: VmRegistry) {
    this.#directory = directory;
    this.#vms = vms;
  }

  /** `issuer` has the form `nodeId/incarnation`. */
  isGone(issuer: string): boolean {
    const [nodeId, incarnation] = issuer.split('/');
    if (nodeId === this.#directory.own.nodeId) {
      return incarnation !== this.#directory.own.incarnation;
    }
    const announced = this.#directory.get(nodeId);
    const replaced = announced !== undefined && announced.incarnation !== incarnation;
    return replaced || this.#vms.isGone(nodeId);
  }
}
