/**
 * Returns whether labels satisfy every term of a selector. A missing label satisfies `notEquals`
 * and `notIn`.
 */
import type Labels from './Labels.js';
import type SelectorTerm from './SelectorTerm.js';

function matchesTerm(term: SelectorTerm, labels: Labels): boolean {
  const value = labels[term.key];
  switch (term.operator) {
    case 'equals':
      return value === term.value;
    case 'notEquals':
      return value !== term.value;
    case 'in':
      return value !== undefined && term.values.includes(value);
    case 'notIn':
      return value === undefined || !term.values.includes(value);
    case 'exists':
      return value !== undefined;
    default:
      return value === undefined;
  }
}

export default function matchesSelector(terms: readonly SelectorTerm[], labels: Labels): boolean {
  return terms.every((term) => matchesTerm(term, labels));
}
