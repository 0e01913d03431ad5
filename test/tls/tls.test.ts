/**
 * Tests TLS of the caller and operator listeners with a running daemon, including certificates that are renewed
 * or cannot be used. The certificates and keys under `fixtures` are used only by this test.
 */
import { execFile } from 'node:child_process';
import { copyFile, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { connect } from 'node:tls';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { createLogger as createLog } from 'bunyan';
import { expect } from 'chai';
import { Agent, request } from 'undici';
import Program from '@rhubarbcroft/standins/fleet/Program';
import allocatePorts from '@rhubarbcroft/standins/fleet/allocatePorts';
import SystemClock from 'rhubarbcroft/supervision/SystemClock';
import CertificateWatcher from 'rhubarbcroft/tls/CertificateWatcher';
import sleep from '../support/sleep.js';

const FIXTURES = new URL('fixtures/', import.meta.url);
const DAEMON = fileURLToPath(new URL('../../packages/rhubarbcroft/dist/main.js', import.meta.url));
const TOOL = fileURLToPath(new URL('../../packages/rhubarbctl/dist/main.js', import.meta.url));
const WAIT_MS = 20_000;
const TOKEN = 'operator-token-of-the-test';

describe('TLS', () => {
  let directory: string;
  let ports: readonly number[];
  let daemon: Program | undefined;

  async function install(cert: string, key = cert): Promise<void> {
    await copyFile(new URL(`${key}.key`, FIXTURES), join(directory, 'vm.key'));
    await copyFile(new URL(`${cert}.pem`, FIXTURES), join(directory, 'vm.pem'));
  }

  async function start(): Promise<Program> {
    const files = `certificatePath = ${directory}/vm.pem\nkeyPath = ${directory}/vm.key`;
    const [callers, operators, peers, platform] = ports;
    const settings = `[node]\nid = vm-1\ndomain = litoral\nregion = litoral\nlameDuckMs = 1
[callers]\naddress = 127.0.0.1:${callers}\n${files}
[operators]\naddress = 127.0.0.1:${operators}\ntoken = ${TOKEN}\n${files}
[peers]\naddress = 127.0.0.1:${peers}\nkey = peer-key-of-the-test
[platform]\ntableUrl = http://127.0.0.1:${platform}\n`;
    await writeFile(join(directory, 'vm.ini'), settings);
    daemon = new Program({ script: DAEMON, args: [join(directory, 'vm.ini')] });
    return daemon;
  }

  async function readCommonName(port: number): Promise<string | undefined> {
    const socket = connect({ host: '127.0.0.1', port, rejectUnauthorized: false });
    try {
      return await new Promise((resolve, reject) => {
        socket.once('error', reject);
        socket.once('secureConnect', () => resolve(String(socket.getPeerCertificate().subject.CN)));
      });
    } catch {
      return undefined;
    } finally {
      socket.destroy();
    }
  }

  async function waitForName(port: number, name: string): Promise<void> {
    const deadlineMs = performance.now() + WAIT_MS;
    let commonName = await readCommonName(port);
    while (commonName !== `${name}.rhubarbcroft.test`) {
      if (performance.now() > deadlineMs) {
        throw new Error(
          `port ${port} presented certificate ${commonName}, expected ${name}: ${daemon?.describeStatus()}`,
        );
      }
      await sleep(50);
      commonName = await readCommonName(port);
    }
  }

  beforeEach(async () => {
    directory = await mkdtemp(join(tmpdir(), 'rhubarbcroft-tls-'));
    ports = await allocatePorts(4);
  });

  afterEach(async () => {
    await daemon?.stop();
    await rm(directory, { recursive: true, force: true });
  });

  it('serves callers and operators over TLS, also after refusing a plain HTTP request', async () => {
    await install('first');
    await start();
    await waitForName(ports[0], 'first');
    const ca = await readFile(new URL('first.pem', FIXTURES), 'utf8');
    const dispatcher = new Agent({ connect: { ca } });
    const plain = await request(`http://127.0.0.1:${ports[0]}/healthz`).catch(() => 'refused');
    const health = await request(`https://127.0.0.1:${ports[0]}/healthz`, { dispatcher });
    await health.body.dump();
    await dispatcher.close();
    const args = ['state', '--url', `https://127.0.0.1:${ports[1]}`, '--token', TOKEN];
    const run = promisify(execFile);
    const trusted = await run(process.execPath, [TOOL, ...args, '--ca', `${directory}/vm.pem`]);
    const untrusted = await run(process.execPath, [TOOL, ...args]).catch(({ code }) => code);
    expect({ plain, health: health.statusCode, untrusted }).to.deep.equal({
      plain: 'refused',
      health: 200,
      untrusted: 5,
    });
    expect(JSON.parse(trusted.stdout)).to.have.property('uptimeS');
  });

  it('keeps the current certificate while the new one is broken, then loads the renewed one', async () => {
    await install('first');
    const program = await start();
    await waitForName(ports[0], 'first');
    await waitForName(ports[1], 'first');
    await install('renewed', 'first');
    await program.waitForLine(
      (line) =>
        line.msg ===
        'certificate files cannot be used; keeping the current certificate, if any, and retrying',
    );
    expect(await readCommonName(ports[0])).to.equal('first.rhubarbcroft.test');
    await install('renewed');
    await waitForName(ports[0], 'renewed');
    await waitForName(ports[1], 'renewed');
  });

  it('waits at startup until a certificate that is being renewed is complete', async () => {
    await install('renewed', 'first');
    const paths = { certificatePath: `${directory}/vm.pem`, keyPath: `${directory}/vm.key` };
    const log = createLog({ name: 'test', level: 'fatal' });
    const watch = new CertificateWatcher(paths, new SystemClock(), log);
    const loaded = watch.load(new AbortController().signal);
    await sleep(300);
    await writeFile(paths.certificatePath, '');
    await sleep(300);
    await install('renewed');
    expect((await loaded)?.cert).to.equal(await readFile(new URL('renewed.pem', FIXTURES), 'utf8'));
  });

  it('exits at startup if certificate and key do not match, and reports how to correct it', async () => {
    await install('renewed', 'first');
    const program = await start();
    const status = await program.stop('SIGCONT');
    expect([status, program.stderr.replaceAll(directory, 'DIR')]).toMatchSnapshot();
  });
});
