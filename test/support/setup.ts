/**
 * Prepares every test run: registers the snapshot plugin, and checks at the end that no test left a server
 * open, which would keep the process from exiting.
 *
 * A test file that imports a module with top-level await, directly or indirectly, is loaded by the native
 * loader and gets its own instance of chai, so the plugin is registered with both instances.
 */
import * as chai from 'chai';
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot';
import sleep from './sleep.js';

/** A closed server ends with its last connection, which takes time; one that was not closed never ends. */
const CLOSE_TIMEOUT_MS = 10_000;
const CLOSE_POLL_INTERVAL_MS = 50;
const snapshots = jestSnapshotPlugin();
chai.use(snapshots);
// Failures print the whole value, so that a long list of wrong answers is not cut off.
chai.config.truncateThreshold = 0;

before('registers the snapshot plugin with both chai instances', async () => {
  const nativeChai = await import('chai');
  nativeChai.use(snapshots);
  nativeChai.config.truncateThreshold = 0;
});

function countServers(): number {
  return process.getActiveResourcesInfo().filter((name) => name === 'TCPServerWrap').length;
}

after('checks that no server is left open', async () => {
  const deadlineMs = performance.now() + CLOSE_TIMEOUT_MS;
  while (countServers() > 0 && performance.now() < deadlineMs) {
    await sleep(CLOSE_POLL_INTERVAL_MS);
  }
  chai.expect(countServers(), 'servers that a test started and did not stop').to.equal(0);
});
