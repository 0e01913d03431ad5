/**
 * Runs a script of this repository as a child process, and keeps its JSON log lines and the end of its
 * stderr.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

interface ProgramOptions {
  readonly script: string;
  readonly args: readonly string[];
  readonly nodeOptions?: readonly string[];
  /** Environment variables in addition to those of this process. */
  readonly env?: Readonly<Record<string, string>>;
}

type LogLine = Readonly<Record<string, unknown>>;

const MAX_KEPT_LINES = 2_000;
/** Running children, killed when this process exits, so that none outlives a failed test or start. */
const runningChildren = new Set<ChildProcess>();
process.once('exit', () => runningChildren.forEach((child) => child.kill('SIGKILL')));

const DESCRIBED_LINES = 3;

export default class Program {
  readonly #child: ChildProcess;

  readonly #exited: Promise<number | null>;

  #logLines: readonly LogLine[] = [];

  #stderr = '';

  #waiters: readonly (() => void)[] = [];

  constructor({ script, args, nodeOptions = [], env = {} }: ProgramOptions) {
    this.#child = spawn(process.execPath, [...nodeOptions, script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...env },
    });
    this.#exited = new Promise((resolve) => {
      this.#child.once('exit', (code) => resolve(code));
    });
    runningChildren.add(this.#child);
    void this.#exited.then(() => runningChildren.delete(this.#child));
    void this.#exited.then(() => this.#waiters.forEach((wake) => wake()));
    createInterface({ input: this.#child.stdout as NodeJS.ReadableStream }).on('line', (line) =>
      this.#handleLine(line),
    );
    this.#child.stderr?.on('data', (text: Buffer) => {
      this.#stderr = `${this.#stderr}${text.toString('utf8')}`.slice(-4_096);
    });
  }

  get pid(): number {
    return this.#child.pid ?? -1;
  }

  get running(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** The last 4,096 characters written to stderr. */
  get stderr(): string {
    return this.#stderr;
  }

  /** Describes whether the process runs, with its last log lines and stderr, for use in error messages. */
  describeStatus(): string {
    const lastLines = this.#logLines.slice(-DESCRIBED_LINES).map((line) => JSON.stringify(line));
    return [this.running ? 'running' : 'ended', ...lastLines, this.#stderr].join('\n');
  }

  /** The latest JSON log lines written to stdout, oldest first. */
  get lines(): readonly LogLine[] {
    return this.#logLines;
  }

  /** Resolves with the first log line that matches; rejects if the process ends without one. */
  async waitForLine(matches: (line: LogLine) => boolean): Promise<LogLine> {
    while (true) {
      const match = this.#logLines.find(matches);
      if (match !== undefined) {
        return match;
      }
      if (!this.running) {
        throw new Error(
          `the process ended before it logged the expected line; its stderr: ${this.#stderr}`,
        );
      }
      await new Promise<void>((resolve) => {
        this.#waiters = [...this.#waiters, resolve];
      });
    }
  }

  signal(signal: NodeJS.Signals): void {
    if (this.running) {
      this.#child.kill(signal);
    }
  }

  /** Resolves when the process has ended, for any reason. */
  async waitForExit(): Promise<void> {
    await this.#exited;
  }

  /** Sends a signal and waits for the exit; returns the exit status, null if a signal ended the process. */
  async stop(signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    this.signal(signal);
    return this.#exited;
  }

  #handleLine(line: string): void {
    // A process that is killed may leave its last line unfinished.
    if (line.startsWith('{') && line.endsWith('}')) {
      this.#logLines = [...this.#logLines.slice(-MAX_KEPT_LINES), JSON.parse(line) as LogLine];
      const waiters = this.#waiters;
      this.#waiters = [];
      waiters.forEach((wake) => wake());
    }
  }
}
