/** Generates docs/ERRORS.md from the list of result codes; a test checks that the committed page is up to date. */
import { writeFileSync } from 'node:fs';
import createErrorTable from './support/createErrorTable.js';

writeFileSync(new URL('../docs/ERRORS.md', import.meta.url), createErrorTable());
