/*
 * A sound model replica: prefill and decode stages, handles that can be taken once, orders to change the stage, a limit of
 * slots and of memory. The times are those of the deployment's sheet. It keeps no prompt parts, so every prompt is read
 * in full.
 */
const { randomBytes } = require('node:crypto');
const { Replica } = require('./fleet.cjs');

const KV_CAPACITY_TOKENS = 473595;
const SLOTS = 64;
const QUEUE = 192;
const PREFILL_TOKENS_PER_MS = 61.4;
/** A decode replica prefills at half the speed. */
const DECODE_FACTOR = 2;
const STEP_MS = 4.55;
const TOKENS_PER_EVENT = 7;
const SWITCH_MS = 3000;
const HANDLE_LIFE_MS = 5000;

/** The handles of all engines, by address and handle. */
const handles = new Map();

class Engine extends Replica {
  constructor(options) {
    super({ ...options, service: 'engines', slots: SLOTS, stage: 'decode' });
    this.handle = (request, response) => this.serve(request, response);
    this.running = 0;
    this.orders = [];
    this.runs = 0;
    this.prefillFreeAtMs = 0;
    this.isChanging = false;
    this.onRun = options.onRun ?? (() => undefined);
  }

  serve(request, response) {
    if (request.method === 'DELETE') {
      handles.delete(`${this.address}/${request.url.split('/').at(-1)}`);
      response.end();
      return;
    }
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const body = Buffer.concat(chunks);
      if (request.url === '/api/order') {
        this.order(response, JSON.parse(body.toString()));
      } else {
        this.run(request, response);
      }
    });
  }

  order(response, order) {
    this.orders.push(order);
    if (this.stage === order.stage || this.isChanging) {
      response.writeHead(this.isChanging ? 409 : 200);
      response.end();
      return;
    }
    this.isChanging = true;
    response.writeHead(202);
    response.end();
    setTimeout(() => {
      this.isChanging = false;
      this.stage = order.stage;
      this.beat();
    }, SWITCH_MS).unref();
  }

  refuse(request, response, status = 503) {
    response.writeHead(status, {
      'x-request-id': request.headers['x-request-id'],
      'x-not-executed': '1',
    });
    response.end();
  }

  /** Reads a prompt, one after the other. Resolves when it is read. */
  readPrompt(tokens) {
    const factor = this.stage === 'prefill' ? 1 : DECODE_FACTOR;
    const nowMs = Date.now();
    this.prefillFreeAtMs =
      Math.max(nowMs, this.prefillFreeAtMs) + (tokens / PREFILL_TOKENS_PER_MS) * factor;
    return new Promise((resolve) => {
      setTimeout(resolve, this.prefillFreeAtMs - nowMs);
    });
  }

  async run(request, response) {
    const { headers } = request;
    const isPrefill = headers['x-stage'] === 'prefill';
    const [promptTokens = 0, maxTokens = 0] = String(headers['x-token-count'] ?? '')
      .split(',')
      .map(Number);
    const source = headers['x-kv-source'];
    if (isPrefill !== (this.stage === 'prefill')) {
      this.refuse(request, response, 421);
      return;
    }
    const isFull = this.running >= SLOTS + QUEUE || promptTokens + maxTokens > KV_CAPACITY_TOKENS;
    if (this.isChanging || isFull || (source !== undefined && !handles.delete(source))) {
      this.refuse(request, response);
      return;
    }
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
    });
    if (source === undefined) {
      await this.readPrompt(promptTokens);
    }
    if (response.destroyed) {
      return;
    }
    if (isPrefill) {
      const kvHandle = randomBytes(6).toString('hex');
      handles.set(`${this.address}/${kvHandle}`, true);
      setTimeout(() => handles.delete(`${this.address}/${kvHandle}`), HANDLE_LIFE_MS).unref();
      response.writeHead(200, {
        'content-type': 'application/json',
        'x-request-id': headers['x-request-id'],
      });
      response.end(JSON.stringify({ kvHandle, tokens: promptTokens, version: 1 }));
      return;
    }
    this.runs += 1;
    this.onRun(request, this);
    this.stream(request, response);
  }

  /** Writes an answer of some 20 tokens. */
  stream(request, response) {
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    const last = 3;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-request-id': request.headers['x-request-id'],
      'x-response-seal': `${this.id}.${request.headers['x-request-id']}`,
      'x-instance-load': `${this.running},0,${SLOTS}`,
    });
    const write = (id) => {
      if (response.destroyed) {
        return;
      }
      response.write(`id: ${id}\ndata: ${request.headers['x-request-id']} ${id}\n\n`);
      if (id >= last) {
        response.end();
      } else {
        setTimeout(() => write(id + 1), STEP_MS * TOKENS_PER_EVENT);
      }
    };
    write(first);
  }
}

module.exports = { Engine };
