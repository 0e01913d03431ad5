/** Tests the supervisor tree against golden event lists: restarts, escalation and the shutdown order. */
import bunyan from 'bunyan';
import { expect } from 'chai';
import Supervisor from 'rhubarbcroft/supervision/Supervisor';
import SystemClock from 'rhubarbcroft/supervision/SystemClock';
import Task from 'rhubarbcroft/supervision/Task';
import waitForAbort from 'rhubarbcroft/supervision/waitForAbort';
import sleep from '../support/sleep.js';

const LOG = bunyan.createLogger({ name: 'test', level: bunyan.FATAL + 1 });

class RecordedTask extends Task {
  override readonly name: string;

  readonly #events: string[];

  #failuresLeft: number;

  constructor(name: string, events: string[], failures = 0) {
    super();
    this.name = name;
    this.#events = events;
    this.#failuresLeft = failures;
  }

  override async run(signal: AbortSignal): Promise<void> {
    this.#events.push(`${this.name} starts`);
    if (this.#failuresLeft > 0) {
      this.#failuresLeft -= 1;
      throw new Error(`${this.name} fails`);
    }
    await waitForAbort(signal);
    this.#events.push(`${this.name} stops`);
  }
}

describe('supervision', () => {
  const clock = new SystemClock();

  it('starts children in order and stops them in reverse, listeners before connections', async () => {
    const events: string[] = [];
    const inner = new Supervisor('callers', clock, LOG).declareChildren(
      new RecordedTask('listener', events),
    );
    const root = new Supervisor('root', clock, LOG).declareChildren(
      new RecordedTask('platform', events),
      inner,
    );
    const controller = new AbortController();
    const running = root.run(controller.signal);
    await sleep(10);
    inner.spawn(new RecordedTask('connection', events));
    await sleep(10);
    controller.abort();
    await running;
    expect(events).toMatchSnapshot();
  });

  it('restarts a failed child within the restart budget without affecting its siblings', async () => {
    const events: string[] = [];
    const root = new Supervisor('root', clock, LOG).declareChildren(
      new RecordedTask('steady', events),
      new RecordedTask('shaky', events, 3),
    );
    const controller = new AbortController();
    const running = root.run(controller.signal);
    await sleep(600);
    controller.abort();
    await running;
    expect(events).toMatchSnapshot();
  });

  it('stops the siblings and fails itself when the restart budget is exhausted', async () => {
    const events: string[] = [];
    const inner = new Supervisor('inner', clock, LOG).declareChildren(
      new RecordedTask('sibling', events),
      new RecordedTask('hopeless', events, 1_000),
    );
    const failure = await inner
      .run(new AbortController().signal)
      .catch((error: Error) => error.message);
    expect({ failure, events }).toMatchSnapshot();
  });

  it('does not restart a failed connection, and its siblings keep running', async () => {
    const events: string[] = [];
    const root = new Supervisor('root', clock, LOG);
    const controller = new AbortController();
    const running = root.run(controller.signal);
    root.spawn(new RecordedTask('broken', events, 1));
    root.spawn(new RecordedTask('healthy', events));
    await sleep(20);
    expect(root.temporaryCount).to.equal(1);
    controller.abort();
    await running;
    expect(events).toMatchSnapshot();
  });
});
