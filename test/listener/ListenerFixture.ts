/** A listener in this process whose limits can change, with its log lines, and callers on raw sockets. */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import bunyan from 'bunyan';
import HttpListener from 'rhubarbcroft/callers/HttpListener';
import SystemClock from 'rhubarbcroft/supervision/SystemClock';
import Supervisor from 'rhubarbcroft/supervision/Supervisor';
import PrometheusMetrics from 'rhubarbcroft/telemetry/PrometheusMetrics';
import allocatePorts from '@rhubarbcroft/standins/fleet/allocatePorts';
import DelayServer from './DelayServer.js';

const END_LINE = 'connection ended before its request was answered';

export default class ListenerFixture {
  limits = { headerTimeoutMs: 1_500, idleTimeoutMs: 1_000 };

  readonly metrics = new PrometheusMetrics();

  readonly server = new DelayServer();

  readonly #lines: Record<string, unknown>[] = [];

  readonly #stop = new AbortController();

  #done: Promise<void> = Promise.resolve();

  #port = 0;

  async start(maxConnections = 100): Promise<this> {
    [this.#port] = await allocatePorts(1);
    const clock = new SystemClock();
    const write = (line: unknown): number => this.#lines.push(line as Record<string, unknown>);
    const log = bunyan.createLogger({
      name: 'test',
      streams: [{ type: 'raw', stream: { write } }],
    });
    const supervisor = new Supervisor('callers', clock, log);
    const listener = new HttpListener({
      name: 'listener',
      address: `127.0.0.1:${this.#port}`,
      maxHeaderBytes: 8_192,
      maxConnections,
      lameDuckMs: 0,
      frontEnd: this.server,
      supervisor,
      clock,
      log,
      metrics: this.metrics,
      readTimeouts: () => this.limits,
      certificates: undefined,
    });
    this.#done = supervisor.declareChildren(listener).run(this.#stop.signal);
    await sleep(50);
    return this;
  }

  stop(): Promise<void> {
    this.#stop.abort();
    return this.#done;
  }

  async open(): Promise<Socket & { text: string }> {
    const socket = Object.assign(connect(this.#port, '127.0.0.1'), { text: '' });
    socket.on('data', (bytes) => {
      socket.text += String(bytes);
    });
    socket.on('error', (error) => {
      socket.text += `\n${(error as NodeJS.ErrnoException).code}`;
    });
    await once(socket, 'connect');
    return socket;
  }

  /** The lines of unanswered requests, without their time and age. */
  get endLines(): readonly unknown[] {
    return this.#lines
      .filter(({ msg }) => msg === END_LINE)
      .map(({ reason, detail, requestId, receivedBytes, headComplete, ...line }) => {
        const { bodyComplete, forwarded, answerBegun } = line;
        const head = { reason, detail, requestId, receivedBytes };
        return { ...head, headComplete, bodyComplete, forwarded, answerBegun };
      });
  }
}
