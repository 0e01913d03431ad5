#!/usr/bin/env node
/**
 * `rhubarbcroftd SETTINGS.ini`: runs an entry VM's daemon until SIGTERM or SIGINT, then shuts it down
 * gracefully. A second signal, or the end of the grace period, ends the process immediately.
 */
import { readFile } from 'node:fs/promises';
import RESULT_CODES from '@rhubarbcroft/protocol/results/RESULT_CODES';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';
import parseSettings from '@rhubarbcroft/protocol/settings/parseSettings';
import type Settings from '@rhubarbcroft/protocol/settings/Settings';
import createNode from './node/createNode.js';
import readCertificate from './tls/readCertificate.js';

function exitWithFailure(failure: Failure): never {
  process.stderr.write(`rhubarbcroftd: ${describeFailure(failure)}\n`);
  process.exit(RESULT_CODES[failure.code].exitCode);
}

async function readSettingsFile(path: string | undefined): Promise<string> {
  if (path === undefined) {
    return exitWithFailure(
      createFailure('SETTINGS_UNREADABLE', 'usage: rhubarbcroftd SETTINGS.ini'),
    );
  }
  try {
    return await readFile(path, 'utf8');
  } catch (error) {
    return exitWithFailure(createFailure('SETTINGS_UNREADABLE', (error as Error).message));
  }
}

/** Exits before anything is started if a configured certificate cannot be used. */
async function checkCertificates({ callers, operators }: Settings): Promise<void> {
  const withCertificate = [callers, operators].filter(
    ({ certificatePath }) => certificatePath !== '',
  );
  const checked = await Promise.all(withCertificate.map((paths) => readCertificate(paths)));
  checked.forEach((result) => result.isErr && exitWithFailure(result.error));
}

async function main(): Promise<void> {
  const path = process.argv[2];
  const settings = parseSettings(await readSettingsFile(path), path);
  if (settings.isErr) {
    exitWithFailure(settings.error);
  }
  await checkCertificates(settings.value);
  const shutdown = new AbortController();
  const { root, parts } = createNode(settings.value, shutdown.signal);
  const { log, metrics, platformClient } = parts;
  const shutDown = (signal: string): void => {
    if (shutdown.signal.aborted) {
      process.exit(RESULT_CODES.CHILD_FAILED.exitCode);
    }
    log.info({ signal }, 'shutdown requested; finishing open requests before the exit');
    shutdown.abort();
    setTimeout(() => {
      log.error(
        'shutdown did not finish within the grace period; exiting with requests still open',
      );
      process.exit(RESULT_CODES.CHILD_FAILED.exitCode);
    }, settings.value.node.shutdownGraceMs).unref();
  };
  process.on('SIGTERM', shutDown);
  process.on('SIGINT', shutDown);
  log.info({ pid: process.pid }, 'starting');
  try {
    await root.run(shutdown.signal);
  } catch (error) {
    log.fatal(
      { err: error },
      describeFailure(createFailure('CHILD_FAILED', (error as Error).message)),
    );
    process.exitCode = RESULT_CODES.CHILD_FAILED.exitCode;
  }
  metrics.close();
  await platformClient.close();
  log.info('stopped: all tasks have ended');
}

await main();
