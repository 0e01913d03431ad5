/** Selectors: which endpoints they match, and how invalid selectors and fleet documents are reported. */
import { expect } from 'chai';
import type Labels from '@rhubarbcroft/protocol/labels/Labels';
import matchesSelector from '@rhubarbcroft/protocol/labels/matchesSelector';
import parseSelector from '@rhubarbcroft/protocol/labels/parseSelector';
import parseFleetDocument from '@rhubarbcroft/protocol/fleet/parseFleetDocument';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';

const ENDPOINTS: readonly Labels[] = [
  { model: 'appraiser', tier: 'a' },
  { model: 'appraiser', tier: 'b', spare: '' },
  { model: 'reader', tier: 'a' },
  { app: 'ledger' },
];

describe('selectors', () => {
  it('selects endpoints by equality, sets and existence', () => {
    const selectors = [
      '',
      'model=appraiser',
      'model==reader',
      'tier!=a',
      'tier in (a, b)',
      'tier notin (a)',
      'spare',
      '!model',
      'model=appraiser,!spare',
    ];
    const selected = selectors.map((text) => {
      const terms = parseSelector(text).unwrapOr([]);
      return [text, ENDPOINTS.map((labels) => matchesSelector(terms, labels))];
    });
    expect(Object.fromEntries(selected)).toMatchSnapshot();
  });

  it('reports the column of an invalid term', () => {
    const invalid = [
      'model=a,,tier=b',
      'model=a b',
      'tier in a',
      'tier in (a',
      '=a',
      'a=1, b in (c), d!!e',
    ];
    const reports = invalid.map((text) => {
      const parsed = parseSelector(text);
      return [text, parsed.isErr ? describeFailure(parsed.error) : 'accepted'];
    });
    expect(Object.fromEntries(reports)).toMatchSnapshot();
  });

  it('checks selectors, names, references and floors of a fleet document', () => {
    const endpoint = {
      id: 'e1',
      kind: 'engine',
      url: 'http://10.0.0.1:80',
      domain: 'd',
      region: 'r',
    };
    const documents = {
      good: { endpoints: [endpoint], models: [{ name: 'm', where: 'tier=a' }] },
      wrongSelector: { models: [{ name: 'm', where: 'tier=a,=b' }] },
      repeatedName: { endpoints: [endpoint, endpoint] },
      strayChange: { changes: [{ name: 'c', action: 'drain', endpoint: 'e9' }] },
      floors: {
        kinds: [
          { name: 'a', floor: 0.7 },
          { name: 'b', floor: 0.6 },
        ],
      },
      unknownKey: { endpoint: [] },
      wrongUrl: { endpoints: [{ ...endpoint, url: 'nowhere' }] },
    };
    const reports = Object.entries(documents).map(([name, document]) => {
      const parsed = parseFleetDocument(document);
      return [name, parsed.isErr ? describeFailure(parsed.error) : 'accepted'];
    });
    expect(Object.fromEntries(reports)).toMatchSnapshot();
  });
});
