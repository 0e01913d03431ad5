/**
 * The task that sends this node's tallies to the holder of the duties, about once a second and right after the end of
 * each usage window, and learns from the answers who the holder is. While no holder is known, the first candidate gets
 * them, which is the likely successor; the holder sends its own to the first candidate beside itself, so that they
 * outlive it.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { randomUUID } from 'node:crypto';
import createGossipCodec from '../gossip/createGossipCodec.js';
import type GossipMessage from '../gossip/GossipMessage.js';
import type FrameCodec from '../peers/FrameCodec.js';
import type Clock from '../supervision/Clock.js';
import Task from '../supervision/Task.js';
import type Candidates from './Candidates.js';
import type DemandSource from './DemandSource.js';
import type HolderView from './HolderView.js';
import type Tally from './Tally.js';
import type TallyBook from './TallyBook.js';
import type TallyExchange from './TallyExchange.js';
import type TallyReply from './TallyReply.js';
import type TrueTime from './TrueTime.js';
import type UsageLedger from './UsageLedger.js';
import encodeTally from './encodeTally.js';

interface TallyReporterOptions {
  readonly address: string;
  readonly domain: string;
  readonly windowMs: number;
  readonly ledger: UsageLedger;
  readonly demand: DemandSource | undefined;
  readonly book: TallyBook;
  readonly exchange: TallyExchange;
  readonly view: HolderView;
  readonly candidates: Candidates;
  readonly time: TrueTime;
  readonly clock: Clock;
}

const PERIOD_MS = 1_000;
/** Delay of the tally after the end of a window, so that the clocks of both sides agree that it has ended. */
const WINDOW_END_DELAY_MS = 50;
/** A round trip between regions takes 60 ms, and a fully loaded core a fraction of a second. */
const REPLY_TIMEOUT_MS = 1_000;
/** The holder's estimate of the true time is preferred to the own one for several periods. */
const ADOPTION_LIFE_MS = 4_000;

async function* receiveReplies(
  socket: Socket,
  codec: FrameCodec<GossipMessage>,
): AsyncGenerator<TallyReply, void, undefined> {
  for await (const bytes of socket) {
    const messages = codec.decode(bytes as Buffer);
    if (messages.isErr) {
      return;
    }
    yield* messages.value.filter((message) => message.type === 'tallied');
  }
}

export default class TallyReporter extends Task {
  override readonly name = 'tally-reporter';

  readonly #options: TallyReporterOptions;

  readonly #process = randomUUID();

  #adoptedAtMs = -Infinity;

  constructor(options: TallyReporterOptions) {
    super();
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    const { clock, exchange } = this.#options;
    while (!signal.aborted) {
      const target = this.#chooseTarget();
      if (target === undefined) {
        exchange.merge(this.#createTally(false));
        await clock.sleep(this.#findDelayMs(), signal);
      } else {
        await this.#report(target, signal);
      }
    }
  }

  override dumpState(): unknown {
    return { target: this.#chooseTarget() ?? null };
  }

  #chooseTarget(): string | undefined {
    const { view, candidates, address } = this.#options;
    const { holder } = view;
    return holder === undefined || holder === address ? candidates.findFirstPeer() : holder;
  }

  /** Sends tallies to a peer until another one is due them, or it does not answer. The last one is sent at the stop. */
  async #report(target: string, signal: AbortSignal): Promise<void> {
    const { clock, view, candidates, exchange } = this.#options;
    const [host, port] = target.split(':');
    const codec = createGossipCodec();
    const socket = connect({ host, port: Number(port), noDelay: true });
    const replies = receiveReplies(socket, codec);
    const sentTotals = new Map<number, number>();
    let isAnswered = true;
    let isLast = false;
    try {
      while (isAnswered && !isLast && this.#chooseTarget() === target) {
        isLast = signal.aborted;
        const tally = this.#createTally(isLast);
        exchange.merge(tally);
        const timer = setTimeout(() => socket.destroy(), REPLY_TIMEOUT_MS);
        const sentAtMs = clock.nowMs();
        socket.write(codec.encode(this.#encodeChanges(tally, sentTotals)));
        const reply = await replies.next().finally(() => clearTimeout(timer));
        isAnswered = reply.done !== true;
        if (reply.done !== true) {
          this.#apply(target, reply.value, sentAtMs);
          await clock.sleep(isLast ? 0 : this.#findDelayMs(), signal);
        }
      }
    } catch {
      // A peer that is down or cut off is expected here; another one gets the tallies.
      isAnswered = false;
    } finally {
      socket.destroy();
    }
    if (!isAnswered) {
      view.recordLost(target);
      candidates.avoid(target);
    }
  }

  #apply(target: string, reply: TallyReply, sentAtMs: number): void {
    const { view, time, clock, book, ledger, candidates } = this.#options;
    view.learn(reply);
    if (reply.isLeaving) {
      candidates.avoid(target);
    }
    if (reply.holder === target) {
      time.adopt(reply.unixMs, sentAtMs);
      this.#adoptedAtMs = clock.nowMs();
    } else {
      time.observe(target, reply.unixMs);
    }
    book.learnFixed(reply.fixedWindow);
    ledger.dropThrough(book.fixedWindow);
  }

  #createTally(isLast: boolean): Tally {
    const { address, domain, ledger, demand, clock, time } = this.#options;
    if (clock.nowMs() - this.#adoptedAtMs > ADOPTION_LIFE_MS) {
      time.update();
    }
    return {
      ...{ node: address, domain, process: this.#process, unixMs: clock.unixMs(), isLast },
      closedWindow: isLast ? ledger.closeForGood() : ledger.close(),
      windows: ledger.list(),
      demand: demand?.read() ?? [],
    };
  }

  /** Encodes a tally without the windows whose counts the peer has on this connection. */
  #encodeChanges(tally: Tally, sentTotals: Map<number, number>): GossipMessage {
    const windows = tally.windows.filter(({ window, countsByAccount }) => {
      const total = Object.values(countsByAccount).reduce((sum, count) => sum + count, 0);
      const hasChanged = sentTotals.get(window) !== total;
      sentTotals.set(window, total);
      return hasChanged;
    });
    return { type: 'tally', ...encodeTally({ ...tally, windows }) };
  }

  /** The time until the next tally: a period, or shortly after the end of the window if that comes sooner. */
  #findDelayMs(): number {
    const { time, windowMs } = this.#options;
    const untilEndMs = windowMs - (time.unixMs() % windowMs);
    return Math.min(PERIOD_MS, untilEndMs + WINDOW_END_DELAY_MS);
  }
}
