/** Guards against a request that ends without an answer and leaves no line that tells by whom and how far it had come. */
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import ListenerFixture from './ListenerFixture.js';

function createHead(path: string, bodyBytes = 0): string {
  return `POST ${path} HTTP/1.1\r\nhost: shop\r\nx-request-id: id-12345\r\ncontent-length: ${bodyBytes}\r\n\r\n`;
}

describe('the end of a connection', () => {
  let listener: ListenerFixture;

  beforeEach(async () => {
    listener = await new ListenerFixture().start();
  });
  afterEach(() => listener.stop());

  const ENDS: Readonly<Record<string, (socket: Socket) => unknown>> = {
    'an idle caller': (socket) => socket.end(),
    'a caller that leaves inside a head': (socket) => socket.end(createHead('/0').slice(0, 20)),
    'a caller that leaves inside a body': (socket) => socket.end(`${createHead('/0', 9)}part`),
    'a caller that resets inside an answer': async (socket) => {
      socket.write(createHead('/500'));
      await sleep(50);
      socket.resetAndDestroy();
    },
    'an answer that is cut': (socket) => socket.write(createHead('/cut')),
    'a head that is not HTTP': (socket) => socket.write('HELO shop\r\n\r\n'),
    'a head that is too slow': (socket) => socket.write(createHead('/0').slice(0, 20)),
    'a planned stop inside a head': async (socket) => {
      socket.write(createHead('/0').slice(0, 20));
      await sleep(50);
      await listener.stop();
    },
  };

  for (const [name, act] of Object.entries(ENDS)) {
    it(`is logged once with its reason: ${name}`, async () => {
      const socket = await listener.open();
      await act(socket);
      await Promise.race([once(socket, 'close'), sleep(3_000)]);
      await sleep(50);
      const metrics = await listener.metrics.render();
      const counts = metrics.match(/(?<=^rhubarbcroft_connection_ends).*$/gm);
      expect({ counts, lines: listener.endLines }).toMatchSnapshot();
    });
  }

  it('is counted and logged when the listener has as many connections as allowed', async () => {
    await listener.stop();
    listener = await new ListenerFixture().start(1);
    await listener.open();
    const socket = await listener.open();
    await Promise.race([once(socket, 'close'), sleep(3_000)]);
    const metrics = await listener.metrics.render();
    expect(metrics).to.include('reason="connection_limit",unanswered="false"} 1');
  });
});
