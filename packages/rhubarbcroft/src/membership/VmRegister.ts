/**
 * What the platform's VM list said, joined over time. The list lags, so a VM counts as gone only when
 * it has been absent from every reading for longer than the list can lag.
 */
import type Clock from '../supervision/Clock.js';
import type Vm from '../store/Vm.js';

export default class VmRegister {
  readonly #clock: Clock;

  readonly #lagMs: number;

  readonly #absentSinceMs = new Map<string, number>();

  #listed: ReadonlyMap<string, Vm> = new Map();

  #read = false;

  constructor(clock: Clock, lagMs: number) {
    this.#clock = clock;
    this.#lagMs = lagMs;
  }

  record(vms: readonly Vm[]): void {
    const nowMs = this.#clock.nowMs();
    const listed = new Map(vms.map((vm) => [vm.id, vm]));
    for (const id of this.#listed.keys()) {
      if (!listed.has(id)) {
        this.#absentSinceMs.set(id, nowMs);
      }
    }
    for (const id of listed.keys()) {
      this.#absentSinceMs.delete(id);
    }
    this.#listed = listed;
    this.#read = true;
  }

  isLeaving(id: string): boolean {
    return this.#listed.get(id)?.state === 'leaving';
  }

  /** True once the VM has been absent for longer than the list can lag; asking starts the count. */
  isGone(id: string): boolean {
    if (!this.#read || this.#listed.has(id)) {
      return false;
    }
    const nowMs = this.#clock.nowMs();
    const sinceMs = this.#absentSinceMs.get(id);
    if (sinceMs === undefined) {
      this.#absentSinceMs.set(id, nowMs);
      return false;
    }
    return nowMs - sinceMs > this.#lagMs;
  }
}
