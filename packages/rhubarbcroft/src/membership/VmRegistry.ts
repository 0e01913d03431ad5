/**
 * The VMs of the platform's VM list, tracked over successive readings. The list lags, so a VM counts as gone only
 * when it has been absent from every reading for longer than the largest lag of the list.
 */
import type Clock from '../supervision/Clock.js';
import type Vm from '../store/Vm.js';

export default class VmRegistry {
  readonly #clock: Clock;

  readonly #maxLagMs: number;

  readonly #absentSinceMs = new Map<string, number>();

  #listed: ReadonlyMap<string, Vm> = new Map();

  #wasRead = false;

  constructor(clock: Clock, maxLagMs: number) {
    this.#clock = clock;
    this.#maxLagMs = maxLagMs;
  }

  /** Records a reading of the list. */
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
    this.#wasRead = true;
  }

  isLeaving(id: string): boolean {
    return this.#listed.get(id)?.state === 'leaving';
  }

  /**
   * Whether the VM has been absent for longer than the largest lag of the list. For a VM that was never listed the
   * time runs from the first call.
   */
  isGone(id: string): boolean {
    if (!this.#wasRead || this.#listed.has(id)) {
      return false;
    }
    const nowMs = this.#clock.nowMs();
    const absentSinceMs = this.#absentSinceMs.get(id);
    if (absentSinceMs === undefined) {
      this.#absentSinceMs.set(id, nowMs);
      return false;
    }
    return nowMs - absentSinceMs > this.#maxLagMs;
  }
}
