/**
 * Prepares every test run: snapshots in the manner of golden files, and a last check that no test left a
 * server open, which would keep the run from ending.
 *
 * A test file that reaches a module with top-level await is loaded by the native loader and gets a chai of
 * its own; the snapshots are added to both.
 */
import * as chai from 'chai';
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot';

const snapshots = jestSnapshotPlugin();
chai.use(snapshots);

before('snapshots are known to both loaders', async () => {
  const native = await import('chai');
  native.use(snapshots);
});

after('no server is left open', () => {
  const open = process.getActiveResourcesInfo().filter((name) => name === 'TCPServerWrap');
  chai.expect(open, 'servers that a test started and did not stop').to.deep.equal([]);
});
