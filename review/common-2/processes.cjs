/*
 * The machines of a case: each runs the program of the deploy file, and starts it again a second after it has ended, as
 * the platform does. Notes each process that ended by itself. No case here signals a process before the end.
 */
const { Gateway, findFreePorts, sleep } = require('./fleet.cjs');

const RESTART_DELAY_MS = 1000;

class Machine {
  constructor({ name, ip, zone, storeAddress, folder, seeds, ports, note }) {
    this.options = { ip, zone, storeAddress, folder, seeds, ports };
    this.name = name;
    this.note = note;
    this.ownEnds = 0;
    this.peakMb = 0;
    this.isStopped = false;
  }

  get ip() {
    return this.options.ip;
  }

  /** The port for callers. */
  get port() {
    return this.options.ports.front;
  }

  get isUp() {
    return this.gateway !== undefined && this.gateway.exits.length === 0;
  }

  async start() {
    await this.startProcess();
    this.loop = this.keep();
  }

  async startProcess() {
    this.gateway = new Gateway({ ...this.options, name: this.name });
    await this.gateway.start();
    this.note(`${this.name} is ready`);
  }

  async keep() {
    while (!this.isStopped) {
      await sleep(100);
      this.peakMb = Math.max(this.peakMb, this.gateway.readMemoryMb() ?? 0);
      const [end] = this.gateway.exits;
      if (end !== undefined && !this.isStopped) {
        this.ownEnds += 1;
        const how = end.signal ?? `status ${end.code}`;
        this.note(
          `${this.name} ended by itself (${how}), end ${this.ownEnds}, peak ${Math.round(this.peakMb)} MB`,
        );
        await sleep(RESTART_DELAY_MS);
        await this.startProcess().catch((error) => this.note(error.message));
      }
    }
  }

  async stop() {
    this.isStopped = true;
    await this.loop;
    await this.gateway.stop();
  }
}

/** Starts the store's and the machines' part of a small deployment of two machines or more. */
async function startMachines({ count, storeAddress, folder, note, defer, subnet }) {
  const ips = Array.from({ length: count }, (_unused, index) => `127.0.${subnet}.${index + 1}`);
  const [front, ready, control, peers] = await findFreePorts(ips, 4);
  const ports = { front, ready, control, peers };
  const machines = ips.map(
    (ip, index) =>
      new Machine({
        ...{ name: `front-rosario-norte-${index + 1}`, ip, zone: 'rosario-norte' },
        ...{ storeAddress, folder, note, ports, seeds: ips.slice(0, 3) },
      }),
  );
  machines.forEach((machine) => defer(() => machine.gateway && machine.stop()));
  await Promise.all(machines.map((machine) => machine.start()));
  return machines;
}

module.exports = { startMachines };
