/**
 * Demonstrates the main features on a small local fleet with stand-ins: sends a streamed model request, an
 * idempotent call, and a non-idempotent call twice with the same key through different entry VMs. Prints the
 * result of each check and exits with status 1 if any of them failed.
 */
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import requestCompletion from '@rhubarbcroft/standins/fleet/requestCompletion';
import callService from '@rhubarbcroft/standins/fleet/callService';
import createExpectedAnswer from '@rhubarbcroft/standins/fleet/createExpectedAnswer';
import createSmallFleet from '@rhubarbcroft/standins/fleet/createSmallFleet';

const PROMPT = 'Appraise 40 crates of rhubarb in the warehouse of the cooperative.';
const OUTPUT_TOKENS = 24;

function report(label: string, passed: boolean, detail: string): boolean {
  process.stdout.write(`${passed ? 'ok  ' : 'WRONG'} ${label}: ${detail}\n`);
  return passed;
}

async function runDemo(fleet: LocalFleet): Promise<boolean> {
  const [first, second, third] = fleet.nodes.map((node) => node.callerUrl);
  const streamed = await requestCompletion({
    url: first,
    model: 'appraiser',
    prompt: PROMPT,
    maxTokens: OUTPUT_TOKENS,
  });
  const expected = createExpectedAnswer(PROMPT, OUTPUT_TOKENS);
  const lookup = await callService({ url: second, path: 'ledger/prices/rhubarb' });
  const writeDownCall = {
    path: 'ledger/write-downs',
    method: 'POST',
    body: '{"crates":40}',
    idempotencyKey: 'write-down-7',
  };
  const booked = await callService({ url: first, ...writeDownCall });
  const repeated = await callService({ url: third, ...writeDownCall });
  const counts = (await Promise.all(
    ['ledger-1', 'ledger-2'].map((id) => fleet.controlEndpoint(id)),
  )) as { readonly runsByKey: Readonly<Record<string, number>> }[];
  const runs = counts.reduce((sum, { runsByKey }) => sum + (runsByKey['write-down-7'] ?? 0), 0);
  return [
    report(
      'streamed model request',
      streamed.isComplete && streamed.text === expected,
      `${OUTPUT_TOKENS} tokens by ${String(streamed.headers['rhubarb-endpoint'])}:${streamed.text.slice(0, 40)}...`,
    ),
    report(
      'idempotent call',
      lookup.status === 200,
      `by ${String(lookup.headers['rhubarb-endpoint'])}: ${lookup.text}`,
    ),
    report(
      'non-idempotent call',
      booked.status === 200,
      `by ${String(booked.headers['rhubarb-endpoint'])}: ${booked.text}`,
    ),
    report(
      'same call repeated through another entry VM',
      repeated.text === booked.text,
      `by ${String(repeated.headers['rhubarb-endpoint'])}, replayed ${String(repeated.headers['rhubarb-replayed'])}`,
    ),
    report('runs of the non-idempotent call', runs === 1, `${runs}`),
  ].every((passed) => passed);
}

const fleet = await LocalFleet.start(createSmallFleet());
try {
  process.exitCode = (await runDemo(fleet)) ? 0 : 1;
} finally {
  await fleet.stop();
}
