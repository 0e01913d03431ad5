/**
 * Mocha's spec reporter with a closing line of counts for scripts. A test whose full title is listed in
 * KNOWN-RED.txt runs like any other, but its failure is only printed and does not fail the run.
 */
const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const { reporters, Runner } = require('mocha');

const KNOWN_RED = join(__dirname, '../../KNOWN-RED.txt');

function readKnownRedTitles() {
  if (!existsSync(KNOWN_RED)) {
    return new Set();
  }
  const lines = readFileSync(KNOWN_RED, 'utf8').split('\n');
  return new Set(
    lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length)),
  );
}

module.exports = class SummaryReporter extends reporters.Spec {
  constructor(runner, options) {
    super(runner, options);
    const knownRedTitles = readKnownRedTitles();
    this.failedKnownRed = [];
    runner.on(Runner.constants.EVENT_TEST_FAIL, (test) => {
      if (knownRedTitles.has(test.fullTitle())) {
        this.failedKnownRed.push(test.fullTitle());
      }
    });
    runner.once(Runner.constants.EVENT_RUN_END, () => {
      const { passes, failures, pending } = this.stats;
      this.failedKnownRed.forEach((title) =>
        process.stdout.write(`known red (KNOWN-RED.txt): ${title}\n`),
      );
      process.stdout.write(
        `${passes} passed, ${failures - this.failedKnownRed.length} failed, ${pending} skipped\n`,
      );
    });
  }

  done(failures, callback) {
    callback(failures - this.failedKnownRed.length);
  }
};
