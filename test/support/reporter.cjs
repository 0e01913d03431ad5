/**
 * The usual report, closed by one plain line with the counts. A test that KNOWN-RED.txt lists by its full
 * title is run like the others; its failure is printed and does not fail the run. Any other failure does.
 */
const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const { reporters, Runner } = require('mocha');

const KNOWN_RED = join(__dirname, '../../KNOWN-RED.txt');

function readKnownTitles() {
  if (!existsSync(KNOWN_RED)) {
    return new Set();
  }
  const lines = readFileSync(KNOWN_RED, 'utf8').split('\n');
  return new Set(
    lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length)),
  );
}

module.exports = class PlainCount extends reporters.Spec {
  constructor(runner, options) {
    super(runner, options);
    const known = readKnownTitles();
    this.knownRed = [];
    runner.on(Runner.constants.EVENT_TEST_FAIL, (test) => {
      if (known.has(test.fullTitle())) {
        this.knownRed.push(test.fullTitle());
      }
    });
    runner.once(Runner.constants.EVENT_RUN_END, () => {
      const { passes, failures, pending } = this.stats;
      this.knownRed.forEach((title) =>
        process.stdout.write(`known red (KNOWN-RED.txt): ${title}\n`),
      );
      process.stdout.write(
        `${passes} passed, ${failures - this.knownRed.length} failed, ${pending} skipped\n`,
      );
    });
  }

  done(failures, end) {
    end(failures - this.knownRed.length);
  }
};
