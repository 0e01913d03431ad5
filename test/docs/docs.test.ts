/**
 * Checks the documentation against the code: the table of result codes, the settings page, the example files
 * and the links between pages.
 */
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { expect } from 'chai';
import parseFleetDocument from '@rhubarbcroft/protocol/fleet/parseFleetDocument';
import describeFailure from '@rhubarbcroft/protocol/results/describeFailure';
import parseSettings from '@rhubarbcroft/protocol/settings/parseSettings';
import settingsSchema from '@rhubarbcroft/protocol/settings/settingsSchema';
import parseFleetIni from 'rhubarbctl/client/parseFleetIni';
import createErrorTable from '../../bench/support/createErrorTable.js';

const ROOT = new URL('../../', import.meta.url);

function readPage(path: string): string {
  return readFileSync(new URL(path, ROOT), 'utf8');
}

describe('documentation', () => {
  it('lists the result codes as the code defines them', () => {
    expect(readPage('docs/ERRORS.md')).to.equal(createErrorTable());
  });

  it('describes every setting', () => {
    const page = readPage('docs/SETTINGS.md');
    const keys = Object.entries(settingsSchema.shape).flatMap(([section, schema]) => {
      const inner = 'unwrap' in schema ? schema.unwrap() : schema;
      return Object.keys((inner as { readonly shape: object }).shape).map(
        (key) => `${section}.${key}`,
      );
    });
    expect(keys.filter((key) => !page.includes(`| \`${key}\` `))).to.deep.equal([]);
  });

  it('has examples that pass validation', () => {
    const settings = parseSettings(readPage('examples/rosario-vm.ini'), 'rosario-vm.ini');
    const fleets = ['rosario', 'kravatka'].map((user) => {
      const input = parseFleetIni(readPage(`examples/${user}-fleet.ini`)).unwrapOr({});
      const document = parseFleetDocument(input);
      return document.isErr ? describeFailure(document.error) : document.value.endpoints.length > 0;
    });
    expect([settings.isOk, ...fleets]).to.deep.equal([true, true, true]);
  });

  it('links only to existing pages', () => {
    const pages = [
      'README.md',
      'DEVELOPERS.md',
      'CONTRIBUTING.md',
      ...readdirSync(new URL('docs/', ROOT))
        .filter((file) => file.endsWith('.md'))
        .map((file) => `docs/${file}`),
    ];
    const broken = pages.flatMap((page) =>
      [...readPage(page).matchAll(/\]\(([^)#:]+)\)/g)]
        .map(([, target]) => new URL(target, new URL(page, ROOT)))
        .filter((target) => !existsSync(target))
        .map((target) => `${page}: ${target.pathname.split('/').at(-1)}`),
    );
    expect(broken).to.deep.equal([]);
  });
});
