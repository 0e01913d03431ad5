/** `rhubarbctl check FILE`: validates a settings file as the daemon does when it starts. */
import { readFile } from 'node:fs/promises';
import { defineCommand } from 'citty';
import createFailure from '@rhubarbcroft/protocol/results/createFailure';
import parseSettings from '@rhubarbcroft/protocol/settings/parseSettings';
import exitWithFailure from '../output/exitWithFailure.js';
import unwrapOrExit from '../output/unwrapOrExit.js';

const checkCommand = defineCommand({
  meta: { name: 'check', description: 'validate a settings file: rhubarbctl check vm-1.ini' },
  args: {
    file: { type: 'positional', required: true, description: 'settings file in INI format' },
  },
  async run({ args }) {
    const text = await readFile(args.file, 'utf8').catch((error: Error) =>
      exitWithFailure(createFailure('SETTINGS_UNREADABLE', error.message)),
    );
    unwrapOrExit(parseSettings(text, args.file));
    process.stdout.write(`${args.file}: accepted\n`);
  },
});

export default checkCommand;
