/**
 * A node of the supervisor tree.
 *
 * Permanent children are started in order, restarted after a failure as long as the restart budget allows,
 * and stopped one by one in reverse order. They stop before the temporary children, so that a listener stops
 * accepting before its connections are asked to finish. The failure of a temporary child, such as a
 * connection, is logged and the child is not restarted. When the restart budget is exhausted, the supervisor
 * itself fails, and its own supervisor handles that failure.
 */
import type Logger from 'bunyan';
import type Clock from './Clock.js';
import RestartBudget from './RestartBudget.js';
import Task from './Task.js';
import waitForAbort from './waitForAbort.js';

interface Child {
  readonly task: Task;
  readonly controller: AbortController;
  readonly done: Promise<void>;
}

const RESTART_BUDGET = { restarts: 5, periodMs: 30_000 };
const RESTART_DELAY_MS = 100;

export default class Supervisor extends Task {
  override readonly name: string;

  readonly #clock: Clock;

  readonly #log: Logger;

  readonly #budget = new RestartBudget(RESTART_BUDGET);

  readonly #temporary = new Set<Child>();

  readonly #added = new Map<string, Child>();

  #declared: readonly Task[] = [];

  #escalate: ((error: Error) => void) | undefined;

  #stopping = false;

  constructor(name: string, clock: Clock, log: Logger) {
    super();
    this.name = name;
    this.#clock = clock;
    this.#log = log.child({ supervisor: name });
  }

  /** Declares permanent children, which `run` starts in this order; call it before `run`. */
  declareChildren(...tasks: readonly Task[]): this {
    this.#declared = [...this.#declared, ...tasks];
    return this;
  }

  /** Starts a permanent child immediately. Does nothing while stopping or if a child of that name was added before. */
  add(task: Task): void {
    if (!this.#stopping && !this.#added.has(task.name)) {
      this.#added.set(task.name, this.#start(task, true));
    }
  }

  /** Stops the child that `add` started under this name and waits until it has ended. */
  async remove(name: string): Promise<void> {
    const child = this.#added.get(name);
    this.#added.delete(name);
    child?.controller.abort();
    await child?.done;
  }

  /** Starts a temporary child, such as a connection. Returns false if the supervisor is stopping. */
  spawn(task: Task): boolean {
    if (this.#stopping) {
      return false;
    }
    const child = this.#start(task, false);
    this.#temporary.add(child);
    void child.done.then(() => this.#temporary.delete(child));
    return true;
  }

  get temporaryCount(): number {
    return this.#temporary.size;
  }

  override async run(signal: AbortSignal): Promise<void> {
    const escalated = new Promise<never>((_resolve, reject) => {
      this.#escalate = reject;
    });
    const permanent = this.#declared.map((task) => this.#start(task, true));
    try {
      await Promise.race([escalated, waitForAbort(signal)]);
    } finally {
      await this.#stopAll(permanent);
    }
  }

  override dumpState(): unknown {
    const tasks = [...this.#declared, ...[...this.#added.values()].map((child) => child.task)];
    return {
      restarts: this.#budget.spent,
      temporary: this.#temporary.size,
      children: Object.fromEntries(tasks.map((task) => [task.name, task.dumpState() ?? {}])),
    };
  }

  #start(task: Task, permanent: boolean): Child {
    const controller = new AbortController();
    const done = this.#superviseChild(task, controller.signal, permanent);
    return { task, controller, done };
  }

  async #superviseChild(task: Task, signal: AbortSignal, permanent: boolean): Promise<void> {
    let failed = true;
    while (failed && !signal.aborted) {
      failed = await this.#runOnce(task, signal);
      if (!failed || !permanent) {
        return;
      }
      if (!this.#budget.spend(this.#clock.nowMs())) {
        this.#escalate?.(
          new Error(`${this.name}: restart budget exhausted by failures of ${task.name}`),
        );
        return;
      }
      await this.#clock.sleep(RESTART_DELAY_MS, signal);
    }
  }

  async #runOnce(task: Task, signal: AbortSignal): Promise<boolean> {
    try {
      await task.run(signal);
      return false;
    } catch (error) {
      this.#log.error(
        { task: task.name, err: error },
        'task failed; it is restarted if it is permanent and the restart budget allows',
      );
      return true;
    }
  }

  async #stopAll(permanent: readonly Child[]): Promise<void> {
    for (const child of [...permanent].reverse()) {
      child.controller.abort();
      await child.done;
    }
    this.#stopping = true;
    const remaining = [...this.#temporary, ...this.#added.values()];
    remaining.forEach((child) => child.controller.abort());
    await Promise.all(remaining.map((child) => child.done));
    this.#stopping = false;
  }
}
