/**
 * Tells the peers which prompts this node has sent to which engines, so that all reckon with the same
 * queues and caches, and which endpoints it could not reach, so that not each node has to wait for a
 * connection to find out. Each peer has a link of its own. In a large fleet only some peers are told: those
 * of the own domain, which send to the same engines, and some others, not the same ones by each node.
 */
import orderByHash from '../decisions/orderByHash.js';
import BatchNotifier from '../peers/BatchNotifier.js';
import type Clock from '../supervision/Clock.js';
import type Supervisor from '../supervision/Supervisor.js';
import type KnowledgeBase from './KnowledgeBase.js';
import type KnowledgeMessage from './KnowledgeMessage.js';
import NoticeLink from './NoticeLink.js';
import type EndpointNotice from './EndpointNotice.js';
import type PromptNotice from './PromptNotice.js';
import createKnowledgeCodec from './createKnowledgeCodec.js';

/** A prompt of middling size is read in this time; a notice that comes later says little. */
const PERIOD_MS = 40;
/** As many peers as a domain has at the size to design for. */
const MAX_LINKS = 24;

type WireSend = Extract<KnowledgeMessage, { readonly type: 'notices' }>['sends'][number];

function encodeSend(prompt: PromptNotice): WireSend {
  const { instanceId, rank, prefillMs, outputTokens, sharedParts } = prompt;
  const parts = sharedParts.flatMap(({ id, tokens }) => [id, tokens]);
  return [instanceId, rank, prefillMs, outputTokens, ...parts];
}

export default class EndpointNotifier extends BatchNotifier<EndpointNotice> {
  override readonly name = 'endpoint-notifier';

  readonly #base: KnowledgeBase;

  readonly #supervisor: Supervisor;

  readonly #codec = createKnowledgeCodec();

  readonly #links = new Map<string, NoticeLink>();

  constructor(base: KnowledgeBase, supervisor: Supervisor, clock: Clock) {
    super(clock, PERIOD_MS);
    this.#base = base;
    this.#supervisor = supervisor;
  }

  protected override send(notices: readonly EndpointNotice[]): void {
    this.#openLinks();
    const frame = this.#codec.encode({
      type: 'notices',
      sends: notices.flatMap((notice) =>
        notice.type === 'sent' ? [encodeSend(notice.prompt)] : [],
      ),
      unreachable: notices.flatMap((notice) =>
        notice.type === 'unreachable' ? [notice.instanceId] : [],
      ),
    });
    this.#links.forEach((link) => link.send(frame));
  }

  #openLinks(): void {
    if (this.#links.size === MAX_LINKS || this.#links.size === this.#base.nodes.length) {
      return;
    }
    const { address: own, neighbours, nodes } = this.#base;
    const others = orderByHash(own, nodes);
    [...neighbours, ...others].forEach((address) => {
      if (address !== own && !this.#links.has(address) && this.#links.size < MAX_LINKS) {
        const link = new NoticeLink(address, this.clock);
        this.#links.set(address, link);
        this.#supervisor.add(link);
      }
    });
  }
}
