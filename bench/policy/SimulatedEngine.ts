/** An engine in a replay: the stand-in's engine model with its state of draining and role change. */
import DEFAULT_ENGINE from '@rhubarbcroft/standins/engine/DEFAULT_ENGINE';
import EngineModel from '@rhubarbcroft/standins/engine/EngineModel';
import type StepResult from '@rhubarbcroft/standins/engine/StepResult';

type Role = EngineModel['role'];

export default class SimulatedEngine {
  readonly id: string;

  readonly model = new EngineModel(DEFAULT_ENGINE);

  #stepping = false;

  #leaving = false;

  #roleChangeInProgress = false;

  #changing = false;

  #roleSinceMs = -Infinity;

  constructor(id: string) {
    this.id = id;
  }

  get leaving(): boolean {
    return this.#leaving;
  }

  get changing(): boolean {
    return this.#changing;
  }

  /** Whether a role change is in progress, from the start of the drain until the new role is active. */
  get roleChangeInProgress(): boolean {
    return this.#roleChangeInProgress;
  }

  get roleSinceMs(): number {
    return this.#roleSinceMs;
  }

  /** Begins a step; undefined if one is in progress, the role is changing, or there is no work. */
  beginStep(): StepResult | undefined {
    if (this.#stepping || this.#changing) {
      return undefined;
    }
    const result = this.model.step();
    this.#stepping = result !== undefined;
    return result;
  }

  endStep(): void {
    this.#stepping = false;
  }

  leave(): void {
    this.#leaving = true;
  }

  prepareChange(): void {
    this.#roleChangeInProgress = true;
  }

  beginChange(): void {
    this.#changing = true;
  }

  endChange(role: Role, nowMs: number): void {
    this.model.role = role;
    this.#changing = false;
    this.#roleChangeInProgress = false;
    this.#roleSinceMs = nowMs;
  }
}
