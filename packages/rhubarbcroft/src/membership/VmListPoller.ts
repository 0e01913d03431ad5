/** Polls the platform's VM list at a fixed period; a failed call leaves the register as it is. */
import type VmList from '../store/VmList.js';
import type Clock from '../supervision/Clock.js';
import PeriodicTask from '../supervision/PeriodicTask.js';
import type VmRegister from './VmRegister.js';

export default class VmListPoller extends PeriodicTask {
  override readonly name = 'vm-list-poller';

  readonly #list: VmList;

  readonly #register: VmRegister;

  constructor(list: VmList, register: VmRegister, clock: Clock, pollMs: number) {
    super(clock, pollMs);
    this.#list = list;
    this.#register = register;
  }

  protected override async runOnce(): Promise<void> {
    const vms = await this.#list.read();
    if (vms.isOk) {
      this.#register.record(vms.value);
    }
  }
}
