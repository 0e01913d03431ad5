/**
 * Reports to the peers which prompts this node dispatched to which engines, so that all nodes include them in
 * their estimates of queues and caches; which endpoints it could not reach, so that the others learn it without a
 * failed connection of their own; and what it learns about crashes of engines. In a small fleet each peer has its own
 * link; in a large one the notices pass through a relay in each failure domain.
 */
import type PaceNotice from '../decisions/pace/PaceNotice.js';
import BatchNotifier from '../peers/BatchNotifier.js';
import type Clock from '../supervision/Clock.js';
import type Supervisor from '../supervision/Supervisor.js';
import DirectNotices from './DirectNotices.js';
import type DispatchedPrompt from './DispatchedPrompt.js';
import type EndpointNotice from './EndpointNotice.js';
import type EvidenceExchange from './EvidenceExchange.js';
import type GossipState from './GossipState.js';
import type NoticeDistribution from './NoticeDistribution.js';
import type NoticeRelay from './NoticeRelay.js';
import type WireNotices from './WireNotices.js';
import createGossipCodec from './createGossipCodec.js';
import encodeEvidence from './encodeEvidence.js';
import encodePace from './encodePace.js';

/** Prefilling a medium-sized prompt takes about this long; a notice that arrives later is of little use. */
const BATCH_PERIOD_MS = 40;
/** The number of nodes of one failure domain in the largest fleet that the system is designed for. */
const MAX_LINKS = 24;
/** A node that dispatches no prompts sends its paces in batches of this size. */
const MAX_WAITING_PACES = 16;

type WireDispatch = WireNotices['sends'][number];

function encodeDispatch(prompt: DispatchedPrompt): WireDispatch {
  const { instanceId, rank, prefillMs, outputTokens, ownTokens, sharedParts } = prompt;
  const parts = sharedParts.flatMap(({ id, tokens }) => [id, tokens]);
  return [instanceId, rank, prefillMs, outputTokens, ...parts, ownTokens];
}

export default class EndpointNotifier extends BatchNotifier<EndpointNotice> {
  override readonly name = 'endpoint-notifier';

  readonly #direct: DirectNotices;

  readonly #relay: NoticeRelay | undefined;

  readonly #codec = createGossipCodec();

  #evidence: EvidenceExchange | undefined;

  /** Paces that wait for the next batch. */
  #paces: readonly PaceNotice[] = [];

  constructor(state: GossipState, supervisor: Supervisor, clock: Clock, relay?: NoticeRelay) {
    super(clock, BATCH_PERIOD_MS);
    this.#relay = relay;
    this.#direct = new DirectNotices({
      state,
      supervisor,
      clock,
      maxLinks: MAX_LINKS,
      createGreeting: () => this.#encodeGreeting(),
    });
  }

  /** Sets the source of the crash reports that are repeated. */
  setEvidence(evidence: EvidenceExchange): void {
    this.#evidence = evidence;
    this.#relay?.setGreeting(() => this.#encodeGreeting());
  }

  /** Repeats the crash reports to one peer in turn, in case it missed them. */
  repeatEvidence(): void {
    const known = this.#createKnownEvidence();
    if (known !== undefined) {
      this.#distribution.repeat(known);
    }
  }

  /** Adds a notice. A changed pace waits for the next batch, so that answers cause no frames of their own. */
  override add(notice: EndpointNotice): void {
    if (notice.type === 'pace') {
      this.#paces = [...this.#paces, notice.pace];
    }
    if (notice.type !== 'pace' || this.#paces.length >= MAX_WAITING_PACES) {
      super.add(notice);
    }
  }

  protected override send(notices: readonly EndpointNotice[]): void {
    const paces = this.#paces;
    this.#paces = [];
    this.#distribution.distribute({
      type: 'notices',
      sends: notices.flatMap((notice) =>
        notice.type === 'sent' ? [encodeDispatch(notice.prompt)] : [],
      ),
      unreachable: notices.flatMap((notice) =>
        notice.type === 'unreachable' ? [notice.instanceId] : [],
      ),
      ...(paces.length === 0 ? {} : { paces: paces.map(encodePace) }),
      evidence: this.#encodeNews(notices),
    });
  }

  get #distribution(): NoticeDistribution {
    return this.#relay?.isNeeded === true ? this.#relay : this.#direct;
  }

  #encodeNews(notices: readonly EndpointNotice[]): WireNotices['evidence'] {
    const reports = notices.flatMap((notice) => (notice.type === 'crash' ? [notice.report] : []));
    const trials = notices.flatMap((notice) => (notice.type === 'trial' ? [notice.trial] : []));
    return reports.length + trials.length === 0
      ? undefined
      : encodeEvidence(reports, trials, this.clock.nowMs());
  }

  #createKnownEvidence(): WireNotices | undefined {
    const reports = this.#evidence?.listReports() ?? [];
    return reports.length === 0
      ? undefined
      : {
          type: 'notices',
          sends: [],
          unreachable: [],
          evidence: encodeEvidence(reports, [], this.clock.nowMs()),
        };
  }

  #encodeGreeting(): Buffer | undefined {
    const known = this.#createKnownEvidence();
    return known && this.#codec.encode(known);
  }
}
