/**
 * Guards against streams that reach the caller as complete although they broke off, and against bytes of another answer
 * in the middle of a stream: the endpoints write raw bytes, and the caller's connection is read as raw bytes.
 */
import { connect } from 'node:net';
import bunyan from 'bunyan';
import { expect } from 'chai';
import type Arrival from '../platform/standins/Arrival.js';
import PlatformFixture from '../platform/standins/PlatformFixture.js';
import startGateway from '../platform/standins/startGateway.js';

type Ending = 'end' | 'reset';
type Script = (arrival: Arrival) => void;

const EVENT_STREAM = 'content-type: text/event-stream\r\n';

const OOPS = 'HTTP/1.1 500 Oops\r\ncontent-length: 14\r\n\r\nerror: oops\n\n\n';

function createHead(fields: string, status = '200 OK', id = 'r'): string {
  return `HTTP/1.1 ${status}\r\nx-request-id: ${id}\r\nx-response-seal: s\r\n${fields}\r\n`;
}

function createEvents(first: number, last: number): string {
  const ids = Array.from({ length: last - first + 1 }, (_unused, index) => first + index);
  return ids.map((id) => `id: ${id}\ndata: ${id}\n\n`).join('');
}

function createChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** A whole answer in chunks. */
function createStream(text: string, fields = EVENT_STREAM): string {
  const chunks = (text === '' ? '' : createChunk(text)) + createChunk('');
  return createHead(`${fields}transfer-encoding: chunked\r\n`) + chunks;
}

/** Writes raw bytes, then closes the connection in order or resets it. */
function write(bytes: string, ending: Ending = 'end'): Script {
  return ({ socket }) => {
    socket.write(bytes);
    setTimeout(() => (ending === 'end' ? socket.end() : socket.resetAndDestroy()), 30);
  };
}

describe('a stream of an endpoint', () => {
  const platform = new PlatformFixture();
  const gateways: Awaited<ReturnType<typeof startGateway>>[] = [];

  before(() => platform.start());
  after(() => Promise.all([platform, ...gateways].map((each) => each.stop())));

  /** What a caller reads from its connection while the endpoints answer its attempts by the scripts in turn. */
  async function receive(...scripts: readonly Script[]): Promise<string> {
    const rest = [...scripts];
    platform.decoders.forEach((decoder) =>
      Object.assign(decoder, { behaviour: (arrival: Arrival) => rest.shift()?.(arrival) }),
    );
    const gateway = await startGateway({ storeUrl: platform.store.url });
    gateways.push(gateway);
    const { hostname, port } = new URL(gateway.url);
    const socket = connect(Number(port), hostname);
    socket.write(
      'GET /audit/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: r\r\nx-deadline-ms: 1500\r\nconnection: close\r\n\r\n',
    );
    const chunks: Buffer[] = [];
    socket.on('error', () => undefined).on('data', (bytes) => chunks.push(bytes));
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    const text = Buffer.concat(chunks).toString('latin1');
    const [head, ...body] = text.split('\r\n\r\n');
    const events = [...body.join('\r\n\r\n').matchAll(/data: (.*)/g)].map(([, data]) => data);
    const isForeign = head.includes(' 200 ') && /HTTP\/1|error|oops/.test(body.join());
    const end = text.endsWith('\r\n0\r\n\r\n') ? 'complete' : 'cut';
    return [head.slice(9, 12), ...events, end, ...(isForeign ? ['foreign'] : [])].join(' ');
  }

  it('without a length is complete only when it ends in order and at the end of an event', async () => {
    const stream = createHead(EVENT_STREAM) + createEvents(1, 2);
    expect({
      'closed in order after an event': await receive(write(stream)),
      'closed in order inside an event': await receive(write(`${stream}id: 3\nda`), write('')),
      'reset after an event': await receive(write(stream, 'reset'), write('')),
      'closed in order without an event': await receive(write(createHead(EVENT_STREAM)), write('')),
      'reset, then resumed without a length': await receive(
        write(stream, 'reset'),
        write(createHead(EVENT_STREAM) + createEvents(3, 4)),
      ),
    }).toMatchSnapshot();
  });

  it('that broke off goes on only with the events after its last one, and never ends as complete otherwise', async () => {
    const broken = write(
      createHead(`${EVENT_STREAM}transfer-encoding: chunked\r\n`) +
        createChunk(`${createEvents(1, 2)}id: 3\nda`),
      'reset',
    );
    const error = 'content-length: 14\r\n';
    const declined = `x-not-executed: 1\r\n${error}`;
    const text = '\r\nerror: oops\n\n';
    const answers = {
      'the next events': createStream(createEvents(3, 4)),
      'the next events with a field of their own': createStream(
        createEvents(3, 4).replaceAll('id:', 'x-weights: 7\nid:'),
      ),
      'a failure': createHead(error, '500 Oops') + text,
      'an unsigned failure': OOPS,
      'a refusal': createHead(declined, '503 Full') + text,
      'a refusal that may have run': createHead(error, '503 Full') + text,
      'a refusal of a misdirected request': createHead(error, '421 Misdirected') + text,
      'an unsigned stream': createStream(createEvents(3, 4)).replace('x-response-seal: s\r\n', ''),
      'a stream of another request': createStream(createEvents(3, 4)).replace('id: r', 'id: q'),
      'a success of another type': createStream(
        '{"error":\n\n"oops"}\n\n',
        'content-type: application/json\r\n',
      ),
      'an empty stream with a length': createHead(`${EVENT_STREAM}content-length: 0\r\n`),
      'an empty stream in chunks': createStream(''),
      'a comment only': createStream(': waiting\n\n'),
      'no content': createHead('', '204 No Content'),
      'partial content': createHead(error, '206 Partial Content') + text,
      'the stream from its start': createStream(createEvents(1, 4)),
      'its last event again': createStream(createEvents(2, 4)),
      'an event without an id': createStream('data: error oops\n\n'),
      'a head after the next event': createStream(createEvents(3, 3) + OOPS),
      'a text after the next event': createStream(`${createEvents(3, 3)}error: oops\n\n`),
      'an earlier event after the next one': createStream(createEvents(3, 3) + createEvents(1, 4)),
    };
    const outcomes: Record<string, unknown> = {};
    for (const [name, answer] of Object.entries(answers)) {
      outcomes[name] = await receive(broken, write(answer));
    }
    outcomes['a head in a stream without a length'] = await receive(
      write(createHead(EVENT_STREAM) + createEvents(1, 2) + OOPS),
      write(''),
    );
    outcomes['after a failure'] = await receive(
      write(createHead(error, '500 Oops') + text),
      broken,
    );
    expect(outcomes).toMatchSnapshot();
    const lines = gateways.flatMap((gateway) => gateway.lines);
    expect(lines.filter(({ level }) => Number(level) >= bunyan.ERROR)).to.deep.equal([]);
  });
});
