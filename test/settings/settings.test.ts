/**
 * Parsing of settings: the values of a valid file with its defaults, and the message for each kind
 * of mistake.
 */
import { expect } from 'chai';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';
import parseSettings from '@rhubarbcroft/protocol/settings/parseSettings';

const VALID_SETTINGS = `
[node]
id = vm-1
domain = litoral
region = litoral
[callers]
address = 127.0.0.1:8080
[operators]
address = 127.0.0.1:8081
token = a-token-of-sixteen-or-more
[peers]
address = 127.0.0.1:8082
seeds = 10.0.0.2:8082, 10.0.0.3:8082
key = a-key-of-sixteen-or-more
[platform]
tableUrl = http://10.0.0.9:9000
`;

describe('settings', () => {
  function describeResult(text: string): string {
    const parsed = parseSettings(text, 'vm-1.ini');
    return parsed.isOk ? 'accepted' : describeFailure(parsed.error);
  }

  it('applies the default of every omitted setting', () => {
    expect(
      parseSettings(VALID_SETTINGS, 'vm-1.ini').unwrapOr(undefined as never),
    ).toMatchSnapshot();
  });

  it('reports the file, section, key and fix of each invalid setting', () => {
    expect({
      unknownKey: describeResult(
        VALID_SETTINGS.replace('[callers]', '[callers]\nmaxBodyMegabytes = 4'),
      ),
      unknownSection: describeResult(`${VALID_SETTINGS}\n[caller]\naddress = 127.0.0.1:1`),
      missingKey: describeResult(VALID_SETTINGS.replace('id = vm-1\n', '')),
      missingSection: describeResult(VALID_SETTINGS.replace(/\[operators\][^[]*/, '')),
      wrongUnit: describeResult(`${VALID_SETTINGS}pollMs = 2s`),
      wrongAddress: describeResult(VALID_SETTINGS.replace('127.0.0.1:8080', 'localhost:8080')),
      wrongFlag: describeResult(VALID_SETTINGS.replace('[callers]', '[callers]\nanonymous = yes')),
      shortKey: describeResult(VALID_SETTINGS.replace('a-key-of-sixteen-or-more', 'short')),
      wrongLevel: describeResult(`${VALID_SETTINGS}\n[telemetry]\nlogLevel = loud`),
    }).toMatchSnapshot();
  });
});
