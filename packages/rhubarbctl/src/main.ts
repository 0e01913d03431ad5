#!/usr/bin/env node
/** `rhubarbctl`: the command line tool for operators, a client of the administration API. */
import { defineCommand, runMain } from 'citty';
import applyCommand from './commands/applyCommand.js';
import auditCommand from './commands/auditCommand.js';
import checkCommand from './commands/checkCommand.js';
import completionCommand from './commands/completionCommand.js';
import describeCommand from './commands/describeCommand.js';
import diffCommand from './commands/diffCommand.js';
import drainCommand from './commands/drainCommand.js';
import getCommand from './commands/getCommand.js';
import labelCommand from './commands/labelCommand.js';
import rolloutCommand from './commands/rolloutCommand.js';
import stateCommand from './commands/stateCommand.js';
import tokenCommand from './commands/tokenCommand.js';
import topCommand from './commands/topCommand.js';

await runMain(
  defineCommand({
    meta: {
      name: 'rhubarbctl',
      description: 'operate rhubarbcroft through the administration API of an entry VM',
    },
    subCommands: {
      apply: applyCommand,
      diff: diffCommand,
      get: getCommand,
      describe: describeCommand,
      label: labelCommand,
      drain: drainCommand,
      rollout: rolloutCommand,
      state: stateCommand,
      top: topCommand,
      audit: auditCommand,
      token: tokenCommand,
      check: checkCommand,
      completion: completionCommand,
    },
  }),
);
