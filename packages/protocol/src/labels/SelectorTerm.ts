/** One term of a label selector, with the operators of Kubernetes label selectors. */
type SelectorTerm =
  | { readonly operator: 'equals' | 'notEquals'; readonly key: string; readonly value: string }
  | { readonly operator: 'in' | 'notIn'; readonly key: string; readonly values: readonly string[] }
  | { readonly operator: 'exists' | 'notExists'; readonly key: string };

export default SelectorTerm;
