/**
 * Parses a selector such as `model=appraiser, tier in (a,b), !spare` into its terms.
 *
 * An empty selector matches everything. Errors are `SELECTOR_INVALID` with the column of the invalid
 * term: counted from 1, at the first character after the comma.
 */
import { err, ok } from 'true-myth/result';
import type Result from 'true-myth/result';
import type Failure from '../results/Failure.js';
import createFailure from '../results/createFailure.js';
import type SelectorTerm from './SelectorTerm.js';

const TERM_SEPARATOR = /,(?![^(]*\))/;
const SET_TERM = /^([\w./-]+)\s+(in|notin)\s+\(([^()]*)\)$/;
const EQUALITY_TERM = /^([\w./-]+)\s*(==|=|!=)\s*([\w./-]*)$/;
const EXISTENCE_TERM = /^(!?)\s*([\w./-]+)$/;

function parseTerm(text: string): SelectorTerm | undefined {
  const setMatch = SET_TERM.exec(text);
  if (setMatch !== null) {
    const values = setMatch[3].split(',').map((value) => value.trim());
    return { operator: setMatch[2] === 'in' ? 'in' : 'notIn', key: setMatch[1], values };
  }
  const equalityMatch = EQUALITY_TERM.exec(text);
  if (equalityMatch !== null) {
    const operator = equalityMatch[2] === '!=' ? 'notEquals' : 'equals';
    return { operator, key: equalityMatch[1], value: equalityMatch[3] };
  }
  const existenceMatch = EXISTENCE_TERM.exec(text);
  if (existenceMatch !== null) {
    return { operator: existenceMatch[1] === '!' ? 'notExists' : 'exists', key: existenceMatch[2] };
  }
  return undefined;
}

export default function parseSelector(text: string): Result<readonly SelectorTerm[], Failure> {
  if (text.trim() === '') {
    return ok([]);
  }
  const terms: SelectorTerm[] = [];
  let column = 1;
  for (const part of text.split(TERM_SEPARATOR)) {
    const term = parseTerm(part.trim());
    if (term === undefined) {
      const quoted = part.trim() === '' ? 'empty term' : `"${part.trim()}"`;
      const hint = 'expected key=value, key!=value, key in (a,b), key notin (a,b), key or !key';
      return err(createFailure('SELECTOR_INVALID', `column ${column}: ${quoted}: ${hint}`));
    }
    terms.push(term);
    column += part.length + 1;
  }
  return ok(terms);
}
