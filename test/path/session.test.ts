/**
 * Snapshots of requests and responses on the complete path from a caller over a daemon to a stand-in, with
 * every program running as a process of its own.
 */
import { expect } from 'chai';
import { request } from 'undici';
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import requestCompletion from '@rhubarbcroft/standins/fleet/requestCompletion';
import callService from '@rhubarbcroft/standins/fleet/callService';
import createExpectedAnswer from '@rhubarbcroft/standins/fleet/createExpectedAnswer';
import createSmallFleet from '@rhubarbcroft/standins/fleet/createSmallFleet';
import normalise from '../support/normalise.js';

const PROMPT = 'Value the ties of the shop.';

describe('the path from caller to endpoint', () => {
  let fleet: LocalFleet;

  before(async () => {
    fleet = await LocalFleet.start(
      createSmallFleet({ settings: { callers: { maxBodyBytes: 2_000, bodyTimeoutMs: 300 } } }),
    );
  });

  after(() => fleet.stop());

  async function exchange(path: string, init: Parameters<typeof request>[1]): Promise<unknown> {
    const response = await request(`${fleet.nodes[0].callerUrl}${path}`, init);
    const { 'content-type': contentType, 'rhubarb-ran': ran } = response.headers;
    return normalise({
      status: response.statusCode,
      contentType,
      ran,
      body: await response.body.text(),
    });
  }

  function complete(
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<unknown> {
    const text = typeof body === 'string' ? body : JSON.stringify(body);
    return exchange('/v1/completions', { method: 'POST', body: text, headers });
  }

  it('streams a completion as server-sent events', async () => {
    expect(
      await complete({ model: 'appraiser', prompt: PROMPT, max_tokens: 3, stream: true }),
    ).toMatchSnapshot();
  });

  it('streams a chat completion', async () => {
    const body = {
      model: 'appraiser',
      messages: [{ role: 'user', content: PROMPT }],
      max_tokens: 2,
      stream: true,
    };
    expect(
      await exchange('/v1/chat/completions', { method: 'POST', body: JSON.stringify(body) }),
    ).toMatchSnapshot();
  });

  it('returns complete answers without streaming', async () => {
    const chat = {
      model: 'appraiser',
      messages: [{ role: 'user', content: PROMPT }],
      max_tokens: 2,
    };
    expect([
      await complete({ model: 'appraiser', prompt: PROMPT, max_tokens: 3 }),
      await exchange('/v1/chat/completions', { method: 'POST', body: JSON.stringify(chat) }),
      await exchange('/v1/models', { method: 'GET' }),
    ]).toMatchSnapshot();
  });

  it('rejects invalid input with a numbered error code and does not affect a running request', async () => {
    const running = requestCompletion({
      url: fleet.nodes[0].callerUrl,
      model: 'appraiser',
      prompt: PROMPT,
      maxTokens: 120,
    });
    const good = { model: 'appraiser', prompt: PROMPT, max_tokens: 2 };
    expect({
      malformed: await complete('{"model":'),
      wrongField: await complete({ model: 'appraiser', prompt: 7 }),
      unknownModel: await complete({ ...good, model: 'oracle' }),
      tooLarge: await complete({ ...good, prompt: 'x'.repeat(3_000) }),
      unknownRank: await complete(good, { 'rhubarb-rank': 'royal' }),
      deadlinePast: await complete(good, { 'rhubarb-deadline-ms': '-5' }),
      deadlineUnreachable: await complete(
        { ...good, max_tokens: 1_000 },
        { 'rhubarb-deadline-ms': '50' },
      ),
      headerTooLarge: await complete(good, { 'x-note': 'y'.repeat(20_000) }),
      unknownService: await exchange('/services/oracle/x', { method: 'GET' }),
      unknownPath: await exchange('/nowhere', { method: 'GET' }),
    }).toMatchSnapshot();
    const answer = await running;
    expect(answer.text).to.equal(createExpectedAnswer(PROMPT, 120));
  });

  it('rejects a request whose body does not arrive in time', async () => {
    async function* slowBody(): AsyncGenerator<Buffer> {
      yield Buffer.from('{"model":');
      await new Promise((resolve) => {
        setTimeout(resolve, 2_000);
      });
      yield Buffer.from('"appraiser"}');
    }
    const { Readable } = await import('node:stream');
    const init = { method: 'POST' as const, body: Readable.from(slowBody()) };
    expect(await exchange('/v1/completions', init)).toMatchSnapshot();
  });

  it('runs calls with the same idempotency key only once across all entry VMs', async () => {
    const call = {
      path: 'ledger/write-downs',
      method: 'POST',
      body: '{"crates":3}',
      idempotencyKey: 'session-1',
    };
    const answers = [];
    for (const node of [...fleet.nodes, fleet.nodes[0]]) {
      answers.push(await callService({ url: node.callerUrl, ...call }));
    }
    const mismatch = await callService({
      url: fleet.nodes[0].callerUrl,
      ...call,
      body: '{"crates":4}',
    });
    const platformState = (await fleet.controlPlatform()) as {
      readonly rows: readonly { readonly table: string }[];
    };
    expect(new Set(answers.map((answer) => answer.text)).size).to.equal(1);
    expect(
      normalise({
        replayed: answers.map((answer) => answer.headers['rhubarb-replayed']),
        mismatch: { status: mismatch.status, error: mismatch.error },
        rows: platformState.rows.filter((row) => row.table === 'claims'),
      }),
    ).toMatchSnapshot();
  });

  it('cancels the engine request when the caller disconnects', async () => {
    const controller = new AbortController();
    const completion = requestCompletion({
      url: fleet.nodes[0].callerUrl,
      model: 'appraiser',
      prompt: PROMPT,
      maxTokens: 4_000,
      signal: controller.signal,
      onToken: () => controller.abort(),
    });
    await completion.catch(() => undefined);
    const engines = fleet.endpoints.filter((endpoint) => endpoint.plan.kind === 'engine');
    await fleet.waitUntil(async () => {
      const states = await Promise.all(engines.map(({ plan }) => fleet.controlEndpoint(plan.id)));
      return states.every((state) => (state as { readonly open: number }).open === 0);
    }, 'no engine has an open request');
  });

  it('answers a trace of mixed requests correctly, byte for byte', async () => {
    const trace = Array.from({ length: 120 }, (_unused, index) => ({
      prompt: `history ${index} ${'fabric '.repeat((index * 37) % 90)}`,
      maxTokens: 1 + ((index * 13) % 40),
      stream: index % 3 !== 0,
      node: fleet.nodes[index % fleet.nodes.length],
    }));
    const answers = await Promise.all(
      trace.map(({ prompt, maxTokens, stream, node }) =>
        requestCompletion({ url: node.callerUrl, model: 'appraiser', prompt, maxTokens, stream }),
      ),
    );
    const incorrect = trace.filter(
      ({ prompt, maxTokens }, index) =>
        answers[index].text !== createExpectedAnswer(prompt, maxTokens) ||
        !answers[index].isComplete,
    );
    expect(incorrect).to.deep.equal([]);
  });
});
