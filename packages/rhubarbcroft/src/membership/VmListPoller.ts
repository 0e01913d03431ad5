/** Polls the platform's VM list at a fixed period; after a failed call the previous reading stays in use. */
import type VmList from '../store/VmList.js';
import type Clock from '../supervision/Clock.js';
import PeriodicTask from '../supervision/PeriodicTask.js';
import type VmRegistry from './VmRegistry.js';

export default class VmListPoller extends PeriodicTask {
  override readonly name = 'vm-list-poller';

  readonly #list: VmList;

  readonly #registry: VmRegistry;

  constructor(list: VmList, registry: VmRegistry, clock: Clock, pollMs: number) {
    super(clock, pollMs);
    this.#list = list;
    this.#registry = registry;
  }

  protected override async runOnce(): Promise<void> {
    const vms = await this.#list.read();
    if (vms.isOk) {
      this.#registry.record(vms.value);
    }
  }
}
