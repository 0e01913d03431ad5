/**
 * Guards against stale entries of bench/removals: after a rename or a rewording, an entry no longer finds
 * its file, its source text or its test, and the removal of its mechanism can't run.
 */
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { expect } from 'chai';
import removals from '../../bench/removals/removals.js';

const SOURCES = new URL('../../packages/rhubarbcroft/src/', import.meta.url);
const TESTS = new URL('../', import.meta.url);
const TITLE = /\b(?:describe|it)\(\s*(['"`])((?:\\.|(?!\1).)*)\1/gs;

function readSource(file: string): string {
  const path = new URL(file, SOURCES);
  return existsSync(path) ? readFileSync(path, 'utf8') : '';
}

function readTitles(): readonly string[] {
  return readdirSync(TESTS, { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.test.ts'))
    .flatMap((file) => [...readFileSync(new URL(file, TESTS), 'utf8').matchAll(TITLE)])
    .map(([, , title]) => title);
}

describe('mechanism removals', () => {
  it('names only source files that exist', () => {
    const missing = removals.filter(({ file }) => !existsSync(new URL(file, SOURCES)));
    expect(missing.map(({ mechanism, file }) => `${mechanism}: ${file}`)).to.deep.equal([]);
  });

  it('replaces text that occurs exactly once in its source file', () => {
    const counts = removals
      .map(({ file, from }) => ({ file, from, count: readSource(file).split(from).length - 1 }))
      .filter(({ count }) => count !== 1);
    expect(counts).to.deep.equal([]);
  });

  it('quotes text from the title of an existing test', () => {
    const titles = readTitles();
    const unknown = removals.filter(({ test }) => !titles.some((title) => title.includes(test)));
    expect(unknown.map(({ mechanism, test }) => `${mechanism}: ${test}`)).to.deep.equal([]);
  });
});
