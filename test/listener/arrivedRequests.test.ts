/** Guards against a limit, an error or an end that takes the answer from a request that has arrived or is being answered. */
import type { Socket } from 'node:net';
import { expect } from 'chai';
import ListenerFixture from './ListenerFixture.js';

type Steps = Parameters<ListenerFixture['play']>[0];

const REQUEST = 'GET /0 HTTP/1.1\r\nhost: shop\r\nx-request-id: id-12345\r\n\r\n';
const LONG_REQUEST = REQUEST.replace('/0', '/2600');
const SHORT_HEADS = { headerTimeoutMs: 700 };
const WAIT = (): void => undefined;

function sendRestAndBlock(socket: Socket): void {
  socket.write(REQUEST.slice(9));
  ListenerFixture.block(2_000);
}

const CASES: Readonly<Record<string, Steps>> = {
  'a head that times out behind an unfinished answer': [
    [0, SHORT_HEADS],
    [0, LONG_REQUEST],
    [50, REQUEST.slice(0, 9)],
    [3_000, WAIT],
  ],
  'bytes that are not HTTP behind an unfinished answer': [
    [0, LONG_REQUEST.replace('2600', '400')],
    [50, 'HELO shop\r\n\r\n'],
    [600, WAIT],
  ],
  'a head that is complete when its blocked process finds it too slow': [
    [0, SHORT_HEADS],
    [0, REQUEST.slice(0, 9)],
    [400, sendRestAndBlock],
    [300, WAIT],
  ],
  'a head that is too slow': [
    [0, SHORT_HEADS],
    [0, REQUEST.slice(0, 9)],
    [2_500, WAIT],
  ],
  'a new connection without a request': [
    [0, SHORT_HEADS],
    [2_500, WAIT],
  ],
  'a request behind one whose caller resets the connection': [
    [0, LONG_REQUEST.replace('2600', '400')],
    [0, REQUEST],
    [100, (socket) => socket.resetAndDestroy()],
    [600, WAIT],
  ],
  'a request whose caller half-closes': [
    [0, LONG_REQUEST.replace('2600', '400')],
    [100, (socket) => socket.end()],
    [600, WAIT],
  ],
  'a server that fails': [
    [0, REQUEST.replace('/0', '/throw')],
    [300, WAIT],
  ],
};

describe('a request that has arrived', () => {
  for (const [name, steps] of Object.entries(CASES)) {
    it(`is answered or refused as a whole: ${name}`, async () => {
      const listener = await new ListenerFixture().start();
      const received = await listener.play(steps);
      await listener.stop();
      const { endLines, server } = listener;
      expect({ received, endLines, served: server.servedUrls }).toMatchSnapshot();
    });
  }
});
