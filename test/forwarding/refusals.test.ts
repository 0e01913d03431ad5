/**
 * Guards against a refusal that belongs to another request, or that an endpoint writes once more on a kept connection:
 * taken as this request's own, it would report a request as not run that is running, or run it at a second endpoint.
 */
import { expect } from 'chai';
import type Arrival from '../platform/standins/Arrival.js';
import PlatformFixture from '../platform/standins/PlatformFixture.js';
import ReplicaStandin from '../platform/standins/ReplicaStandin.js';

/** Writes a refusal that bears the id of another request, then goes on with the request. */
function refuseAsAnother({ response }: Arrival): void {
  response.writeHead(503, { 'x-request-id': 'another', 'x-not-executed': '1' });
  response.end();
}

function refuseWithoutId({ response }: Arrival): void {
  response.writeHead(503, { 'x-not-executed': '1' });
  response.end();
}

/** Answers, and writes the refusal of an earlier request right after the answer. */
function answerThenRefuse(arrival: Arrival): void {
  ReplicaStandin.answer(arrival);
  arrival.socket.write(
    'HTTP/1.1 503 Unavailable\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n',
  );
}

describe('a refusal of an endpoint', () => {
  const platform = new PlatformFixture();
  const { ledgers, prefiller, decoders } = platform;
  const { countArrivals } = PlatformFixture;

  before(() => platform.start());
  beforeEach(() => platform.reset());
  after(() => platform.stop());

  function behave(
    replicas: readonly ReplicaStandin[],
    behaviour: ReplicaStandin['behaviour'],
  ): void {
    replicas.forEach((replica) => Object.assign(replica, { behaviour }));
  }

  /** The status of a request that must run only once, and how many endpoints received it. */
  async function book(behaviour: ReplicaStandin['behaviour']): Promise<unknown> {
    await platform.reset();
    behave(ledgers, behaviour);
    const { status } = await platform.call('/book/1', { body: 'one' });
    return { status, arrivals: countArrivals(ledgers) };
  }

  it('counts as not run only when it bears the id of the request, or none on a new connection', async () => {
    expect({
      'with its id': await book(ReplicaStandin.decline),
      'with another id': await book(refuseAsAnother),
      'without an id': await book(refuseWithoutId),
    }).toMatchSnapshot();
  });

  it('does not reach the next request when it is written once more after an answer', async () => {
    behave(ledgers, answerThenRefuse);
    const answers = [];
    for (let count = 0; count < 6; count += 1) {
      answers.push(await platform.call('/read/1'));
    }
    expect(answers.map(({ status, signature }) => [status, signature])).to.deep.equal(
      answers.map((_answer, index) => [
        200,
        `seal-r-${Number(platform.lastRequestId.slice(2)) - 5 + index}`,
      ]),
    );
  });

  it('of another prompt does not end a prefill as declined', async () => {
    behave([prefiller], refuseAsAnother);
    behave(decoders, ReplicaStandin.stream(2));
    const { status } = await platform.generate('/verdict/1', 9_000);
    expect([status, countArrivals(decoders)]).to.deep.equal([200, 1]);
  });
});
