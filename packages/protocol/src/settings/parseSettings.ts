/**
 * Parses the text of an INI settings file. Errors are `SETTINGS_INVALID`; their detail contains the
 * file, the section, the key and the expected value.
 */
import { parse } from 'ini';
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '../results/Failure.js';
import createFailure from '../results/createFailure.js';
import type Settings from './Settings.js';
import settingsSchema from './settingsSchema.js';

/**
 * Converts booleans back to strings: the INI library parses `true` and `false`, but the schema
 * accepts strings only.
 */
function stringifyBooleans(sections: Readonly<Record<string, unknown>>): unknown {
  return JSON.parse(JSON.stringify(sections), (_key, value: unknown) =>
    typeof value === 'boolean' ? String(value) : value,
  );
}

export default function parseSettings(text: string, fileName: string): Result<Settings, Failure> {
  const validated = settingsSchema.safeParse(stringifyBooleans(parse(text)));
  if (validated.success) {
    return ok(validated.data);
  }
  const issue = validated.error.issues[0];
  const [section, key] = issue.path;
  const keys =
    issue.code === 'unrecognized_keys' ? issue.keys.join(', ') : String(key ?? '(whole section)');
  const location = section === undefined ? `[${keys}]` : `[${String(section)}] ${keys}`;
  const detail = `${fileName}: ${location}: ${issue.message}`;
  return err(createFailure('SETTINGS_INVALID', detail));
}
