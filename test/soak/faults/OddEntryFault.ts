/** Another writer leaves an entry among those of the replicas that names no usable replica. */
import type SoakWorld from '../SoakWorld.js';
import Fault from './Fault.js';

const NESTING_DEPTH = 50_000;
const NESTED = `${'['.repeat(NESTING_DEPTH)}${']'.repeat(NESTING_DEPTH)}`;

/** The field that makes an entry odd, as JSON text. A number that is too large is parsed as infinite. */
const ODD_FIELDS = {
  nested: `"service":${NESTED}`,
  'nested further': `"labels":${NESTED}`,
  port: '"address":"127.0.0.1:99999"',
  address: '"address":"999.0.0.1:80"',
  type: '"address":{"port":80}',
  'slots type': '"slots":"8"',
  slots: '"slots":1e999',
  start: '"born":1e300',
  'cold time': '"coldRemainingMs":1e999',
  sequence: '"sequence":1e999',
} as const;

/** The start of an entry for each kind of replica; of two fields with the same name, the last counts. */
const ENTRIES = {
  ledger: '{"service":"ledger"',
  prefill: '{"service":"model","stage":"prefill"',
  decode: '{"service":"model","stage":"decode"',
} as const;
/** No process listens on the port. */
const SOUND_FIELDS =
  '"address":"127.0.0.1:1","zone":"a","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1700000000000';

type Oddity = keyof typeof ODD_FIELDS;
type Kind = keyof typeof ENTRIES;

export default class OddEntryFault extends Fault {
  static readonly oddities = Object.keys(ODD_FIELDS) as readonly Oddity[];

  static readonly kinds = Object.keys(ENTRIES) as readonly Kind[];

  override readonly name: string;

  readonly #entry: string;

  constructor(oddity: Oddity, kind: Kind) {
    super();
    this.name = `odd entry of ${kind}: ${oddity}`;
    this.#entry = `${[ENTRIES[kind], SOUND_FIELDS, ODD_FIELDS[oddity]].join(',')}}`;
  }

  override inject({ store }: SoakWorld): () => Promise<void> {
    store.put('servers', 'odd', this.#entry);
    return async () => store.remove('servers', 'odd');
  }
}
