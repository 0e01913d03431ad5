/** Guards against a kept connection that is closed sooner than its caller was told, or although a request had arrived. */
import type { Socket } from 'node:net';
import { expect } from 'chai';
import ListenerFixture from './ListenerFixture.js';

type Steps = Parameters<ListenerFixture['play']>[0];

const REQUEST = 'GET /0 HTTP/1.1\r\nhost: shop\r\n\r\n';
const LONG_REQUEST = REQUEST.replace('/0', '/600');
const WAIT = (): void => undefined;

const CASES: Readonly<Record<string, Steps>> = {
  'is raised while the connection is idle': [
    [0, REQUEST],
    [200, { idleTimeoutMs: 4_000 }],
    [2_400, REQUEST],
    [4_300, REQUEST],
    [300, WAIT],
  ],
  'is lowered while the connection is idle': [
    [0, { idleTimeoutMs: 3_000 }],
    [0, REQUEST],
    [200, { idleTimeoutMs: 1_000 }],
    [2_400, REQUEST],
    [300, WAIT],
  ],
  'is lowered between the head and the end of an answer': [
    [0, { idleTimeoutMs: 3_000 }],
    [0, LONG_REQUEST],
    [200, { idleTimeoutMs: 1_000 }],
    [2_900, REQUEST],
    [300, WAIT],
  ],
  'passes while the head of a request is arriving': [
    [0, { headerTimeoutMs: 4_000 }],
    [0, REQUEST],
    [500, REQUEST.slice(0, 9)],
    [2_400, REQUEST.slice(9)],
    [300, WAIT],
  ],
  'passes while bytes that begin no request arrive': [
    [0, REQUEST],
    [500, '\r\n'],
    [4_500, WAIT],
  ],
  'passes without a request': [
    [0, REQUEST],
    [2_800, WAIT],
  ],
};

describe('the idle limit of kept connections', () => {
  const outcomes = new Map<string, Promise<readonly string[]>>();

  const listeners: ListenerFixture[] = [];

  before(async () => {
    for (const [name, steps] of Object.entries(CASES)) {
      const listener = await new ListenerFixture().start();
      listeners.push(listener);
      outcomes.set(name, listener.play(steps));
    }
  });
  after(() => Promise.all(listeners.map((listener) => listener.stop())));

  for (const name of Object.keys(CASES)) {
    it(`closes no connection before the time that its caller was told: the limit ${name}`, async () => {
      expect(await outcomes.get(name)).toMatchSnapshot();
    });
  }

  it('answers a request that arrived while the process was blocked past the limit', async () => {
    const listener = await new ListenerFixture().start();
    listeners.push(listener);
    const sendAndBlock = (socket: Socket): void => {
      socket.write(REQUEST);
      ListenerFixture.block(300);
    };
    const answers = await listener.play([
      [0, REQUEST],
      [1_900, sendAndBlock],
      [300, WAIT],
    ]);
    expect(answers).toMatchSnapshot();
  });
});
