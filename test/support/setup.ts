/**
 * Prepares every test run: snapshots in the manner of golden files, and a last check that no test left a
 * server open, which would keep the run from ending.
 *
 * A test file that reaches a module with top-level await is loaded by the native loader and gets a chai of
 * its own; the snapshots are added to both.
 */
import * as chai from 'chai';
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot';
import sleep from './sleep.js';

/** A server that was told to close does so when its last connection has ended; one that was not never does. */
const CLOSE_PATIENCE_MS = 10_000;
const CLOSE_CHECK_MS = 50;
const snapshots = jestSnapshotPlugin();
chai.use(snapshots);
// A failure is to name what was wrong, however many answers there were.
chai.config.truncateThreshold = 0;

before('snapshots are known to both loaders', async () => {
  const native = await import('chai');
  native.use(snapshots);
  native.config.truncateThreshold = 0;
});

function countServers(): number {
  return process.getActiveResourcesInfo().filter((name) => name === 'TCPServerWrap').length;
}

after('no server is left open', async () => {
  const untilMs = performance.now() + CLOSE_PATIENCE_MS;
  while (countServers() > 0 && performance.now() < untilMs) {
    await sleep(CLOSE_CHECK_MS);
  }
  chai.expect(countServers(), 'servers that a test started and did not stop').to.equal(0);
});
