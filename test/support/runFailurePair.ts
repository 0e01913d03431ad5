/**
 * Runs a small fleet under steady mixed load, injects two overlapping faults chosen by a seed, and returns
 * the violations found: completions with text that is not in the expected answer or that ended as complete
 * without being it, calls that ran more than once, and calls that ran although their error response reported
 * `not_run`.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import requestCompletion from '@rhubarbcroft/standins/fleet/requestCompletion';
import callService from '@rhubarbcroft/standins/fleet/callService';
import createExpectedAnswer from '@rhubarbcroft/standins/fleet/createExpectedAnswer';
import createSmallFleet from '@rhubarbcroft/standins/fleet/createSmallFleet';
import sleep from './sleep.js';

interface Outcome {
  /** Names of the injected faults. */
  readonly failures: readonly string[];
  /** Descriptions of the violations; empty if the fleet behaved correctly. */
  readonly wrong: readonly string[];
  readonly answered: number;
  readonly refused: number;
}

interface Fault {
  readonly name: string;
  readonly inject: () => Promise<unknown> | void;
  readonly clear: () => Promise<unknown> | void;
}

const LOAD_DURATION_MS = 5_000;
const CALLER_COUNT = 9;
const ANSWER_TOKENS = 40;

function createFaults(fleet: LocalFleet): readonly Fault[] {
  const engine = fleet.endpoint('engine-2');
  const ledger = fleet.endpoint('ledger-1');
  const relay = fleet.relays.get('endpoint engine-1');
  const node = fleet.node('vm-2');
  return [
    {
      name: 'platform down',
      inject: () => fleet.controlPlatform({ down: true }),
      clear: () => fleet.controlPlatform({ down: false }),
    },
    {
      name: 'platform slow',
      inject: () => fleet.controlPlatform({ slowMs: 300 }),
      clear: () => fleet.controlPlatform({ slowMs: 0 }),
    },
    {
      name: 'platform loses answers',
      inject: () => fleet.controlPlatform({ loseAnswers: true }),
      clear: () => fleet.controlPlatform({ loseAnswers: false }),
    },
    {
      name: 'engine killed',
      inject: () => engine.program.stop('SIGKILL'),
      clear: () => fleet.startEndpoint(engine.plan, engine.port),
    },
    {
      name: 'engine frozen',
      inject: () => engine.program.signal('SIGSTOP'),
      clear: () => engine.program.signal('SIGCONT'),
    },
    {
      name: 'service killed',
      inject: () => ledger.program.stop('SIGKILL'),
      clear: () => fleet.startEndpoint(ledger.plan, ledger.port),
    },
    {
      name: 'entry VM killed',
      inject: () => node.program.stop('SIGKILL'),
      clear: () => fleet.startNode(node.plan),
    },
    {
      name: 'entry VM frozen',
      inject: () => node.program.signal('SIGSTOP'),
      clear: () => node.program.signal('SIGCONT'),
    },
    {
      name: 'engine connections cut',
      inject: () => relay.cut(),
      clear: () => relay.restore(),
    },
    {
      name: 'engine connections silent',
      inject: () => relay.silenceOpenConnections(),
      clear: () => undefined,
    },
    {
      name: 'engine drained',
      inject: () =>
        fleet.administer('POST', '/v1/drains', { endpoint: 'engine-3', durationMs: 2_000 }),
      clear: () => undefined,
    },
  ];
}

/** Sends one call with its own idempotency key; returns whether it succeeded or was reported as `not_run`. */
async function sendBooking(
  url: string,
  key: string,
): Promise<{ readonly ok: boolean; readonly notRun: boolean }> {
  const answer = await callService({
    url,
    path: 'ledger/book',
    method: 'POST',
    body: key,
    idempotencyKey: key,
    headers: { 'rhubarb-deadline-ms': '8000' },
  }).catch(() => undefined);
  return { ok: answer?.status === 200, notRun: answer?.error?.ran === 'not_run' };
}

/** Sends one completion request; returns whether it was answered, and a violation if it was wrong. */
async function sendCompletion(
  url: string,
  prompt: string,
  stream: boolean,
): Promise<{ readonly ok: boolean; readonly wrong: readonly string[] }> {
  const headers = { 'rhubarb-deadline-ms': '20000' };
  const options = { url, model: 'appraiser', prompt, maxTokens: ANSWER_TOKENS, stream, headers };
  const answer = await requestCompletion(options).catch(() => undefined);
  const expected = createExpectedAnswer(prompt, ANSWER_TOKENS);
  const isForeign = answer !== undefined && !expected.startsWith(answer.text);
  const isTruncated = answer?.isComplete === true && answer.text !== expected;
  return {
    ok: answer?.isComplete === true,
    wrong:
      isForeign || isTruncated ? [`answer differs from the expected one for prompt ${prompt}`] : [],
  };
}

async function countRuns(fleet: LocalFleet): Promise<ReadonlyMap<string, number>> {
  const counts = (await Promise.all(
    ['ledger-1', 'ledger-2'].map((id) =>
      fleet.controlEndpoint(id).catch(() => ({ runsByKey: {} })),
    ),
  )) as { readonly runsByKey: Readonly<Record<string, number>> }[];
  const keys = new Set(counts.flatMap(({ runsByKey }) => Object.keys(runsByKey)));
  return new Map(
    [...keys].map((key) => [
      key,
      counts.reduce((sum, { runsByKey }) => sum + (runsByKey[key] ?? 0), 0),
    ]),
  );
}

async function runLoad(
  fleet: LocalFleet,
  seed: number,
  untilMs: number,
): Promise<Pick<Outcome, 'wrong' | 'answered' | 'refused'>> {
  const wrong: string[] = [];
  const notRunKeys = new Set<string>();
  const results: boolean[] = [];
  const runCaller = async (caller: number): Promise<void> => {
    for (let iteration = 0; performance.now() < untilMs; iteration += 1) {
      const { callerUrl } = fleet.nodes[(caller + iteration) % 3];
      const name = `${seed}-${caller}-${iteration}`;
      if (caller % 3 === 0) {
        const booking = await sendBooking(callerUrl, name);
        results.push(booking.ok);
        notRunKeys.add(booking.notRun ? name : '');
      } else {
        const completion = await sendCompletion(callerUrl, name, iteration % 2 === 0);
        results.push(completion.ok);
        wrong.push(...completion.wrong);
      }
    }
  };
  await Promise.all(Array.from({ length: CALLER_COUNT }, (_unused, caller) => runCaller(caller)));
  (await countRuns(fleet)).forEach((count, key) => {
    wrong.push(...(count > 1 ? [`${key} ran ${count} times`] : []));
    wrong.push(
      ...(notRunKeys.has(key) ? [`${key} ran although its error response reported not_run`] : []),
    );
  });
  const answered = results.filter((ok) => ok).length;
  return { wrong, answered, refused: results.length - answered };
}

export default async function runFailurePair(seed: number): Promise<Outcome> {
  const random = xoroshiro128plus(seed);
  const fleet = await LocalFleet.start(createSmallFleet({ relays: { endpoints: ['engine-1'] } }));
  try {
    const faults = createFaults(fleet);
    const first = uniformInt(random, 0, faults.length - 1);
    const second = (first + uniformInt(random, 1, faults.length - 1)) % faults.length;
    const load = runLoad(fleet, seed, performance.now() + LOAD_DURATION_MS);
    await sleep(uniformInt(random, 300, 900));
    await faults[first].inject();
    await sleep(uniformInt(random, 0, 700));
    await faults[second].inject();
    await sleep(uniformInt(random, 800, 1_800));
    await faults[first].clear();
    await faults[second].clear();
    return { failures: [faults[first].name, faults[second].name], ...(await load) };
  } finally {
    await fleet.stop();
  }
}
