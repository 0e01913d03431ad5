/**
 * Checks that the tests of the guarantees can fail: removes each mechanism from a copy of the daemon and
 * runs its test there, which must then fail; in the unchanged copy the test must pass. `--only TEXT` runs
 * only the mechanisms whose name contains the text.
 */
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import Workspace from './removals/Workspace.js';
import removals from './removals/removals.js';

const { values: options } = parseArgs({ options: { only: { type: 'string', default: '' } } });
const chosen = removals.filter(({ mechanism }) => mechanism.includes(options.only));
const workspace = new Workspace(fileURLToPath(new URL('../', import.meta.url)));
let unprovedCount = 0;
try {
  for (const removal of chosen) {
    const passesWithout = workspace.passesWithout(removal);
    const passesWith = workspace.passes(removal.test);
    const proved = !passesWithout && passesWith;
    unprovedCount += proved ? 0 : 1;
    process.stdout.write(
      `${proved ? 'proved' : 'NOT PROVED'}: ${removal.mechanism}; without it the test ${passesWithout ? 'passes' : 'fails'}, with it the test ${passesWith ? 'passes' : 'fails'} (${removal.test})\n`,
    );
  }
} finally {
  workspace.remove();
}
process.stdout.write(`${chosen.length - unprovedCount} of ${chosen.length} proved\n`);
process.exitCode = unprovedCount === 0 ? 0 : 1;
