/** Compares an operator's `rhubarbctl` session with a golden file: changes and a drain under load, failed commands. */
import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import LocalFleet from '@rhubarbcroft/standins/fleet/LocalFleet';
import requestCompletion from '@rhubarbcroft/standins/fleet/requestCompletion';
import createExpectedAnswer from '@rhubarbcroft/standins/fleet/createExpectedAnswer';
import createSmallFleet from '@rhubarbcroft/standins/fleet/createSmallFleet';
import normalise from '../support/normalise.js';

const TOOL = fileURLToPath(new URL('../../packages/rhubarbctl/dist/main.js', import.meta.url));

interface Outcome {
  readonly status: number;
  readonly out: string;
  readonly error: string;
}

describe('rhubarbctl', () => {
  let fleet: LocalFleet;

  let directory: string;

  before(async () => {
    fleet = await LocalFleet.start(createSmallFleet());
    directory = await mkdtemp(join(tmpdir(), 'rhubarbctl-'));
  });

  after(async () => {
    await fleet.stop();
    await rm(directory, { recursive: true, force: true });
  });

  function run(args: readonly string[], token = LocalFleet.operatorToken): Promise<Outcome> {
    const env = {
      ...process.env,
      RHUBARBCTL_URL: fleet.nodes[0].operatorUrl,
      RHUBARBCTL_TOKEN: token,
      NO_COLOR: '1',
    };
    return new Promise((resolve) => {
      execFile(process.execPath, [TOOL, ...args], { env }, (error, out, errorText) => {
        const clean = (text: string): string => text.replaceAll(directory, 'DIR');
        const progress = /^(version \d+ in force|\d+ requests still run).*\n/gm;
        resolve({
          status: Number(error?.code ?? 0),
          out: clean(out),
          error: clean(errorText).replace(progress, ''),
        });
      });
    });
  }

  it('applies, shows, labels and drains under load without interrupting requests', async () => {
    const file = join(directory, 'fleet.ini');
    const sections = fleet.endpoints.map(
      ({ plan, url }) =>
        `[endpoint ${plan.id}]\nkind=${plan.kind}\nurl=${url}\ndomain=${plan.domain}\nregion=${plan.region}\nlabels=${Object.entries(
          plan.labels,
        )
          .map(([key, value]) => `${key}=${value}`)
          .join(',')}\n`,
    );
    await writeFile(
      file,
      `${sections.join('\n')}\n[model appraiser]\nwhere=model=appraiser\n\n[service ledger]\nwhere=app=ledger\n`,
    );
    const prompts = Array.from({ length: 12 }, (_unused, index) => `operator session ${index}`);
    const requests = prompts.map((prompt, index) =>
      requestCompletion({
        url: fleet.nodes[index % 3].callerUrl,
        model: 'appraiser',
        prompt,
        maxTokens: 250,
      }),
    );
    const session = {
      dryRun: await run(['apply', file, '--dryRun']),
      apply: await run(['apply', file, '--wait']),
      diff: await run(['diff', file]),
      models: await run(['get', 'models']),
      label: await run(['label', 'engine-1', 'tier=a', '--wait']),
      endpoints: await run(['get', 'endpoints', '--limit', '2', '-o', 'json']),
      drain: await run(['drain', 'engine-2', '--wait']),
      rollout: await run(['rollout']),
    };
    expect(normalise(session)).toMatchSnapshot();
    const answers = await Promise.all(requests);
    expect(answers.map(({ text }) => text)).to.deep.equal(
      prompts.map((prompt) => createExpectedAnswer(prompt, 250)),
    );
    expect((await run(['top'])).out).to.match(/engine-2 +mixed +no +yes/);
    expect((await run(['audit'])).out.split('\n').length).to.be.above(3);
  });

  it('reports what is wrong and how to correct it, with the exit code of the failure', async () => {
    const file = join(directory, 'wrong.ini');
    await writeFile(file, '[model appraiser]\nwhere=tier=a,=b\n');
    const settings = join(directory, 'vm.ini');
    await writeFile(settings, '[node]\nid=vm-1\n');
    expect(
      normalise({
        wrongSelector: await run(['apply', file]),
        wrongToken: await run(['get', 'models'], 'a-token-that-nobody-has'),
        noToken: await run(['get', 'models'], ''),
        unknownList: await run(['get', 'wishes']),
        unknownEndpoint: await run(['drain', 'engine-9']),
        stale: await run(['apply', '--basedOn', '1', file.replace('wrong', 'fleet')]),
        wrongSettings: await run(['check', settings]),
        check: await run(['check', fleet.nodes[0].settingsPath.replace('vm-1', 'vm-1')]).then(
          ({ status }) => status,
        ),
      }),
    ).toMatchSnapshot();
  });
});
