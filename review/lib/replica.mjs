// Stand-in of a replica, over plain TCP so that it can also answer wrongly. It keeps its entry in the
// store, answers 421 to requests for others, and 503 at its limits, as PROTOCOL.md describes.
import { createServer } from 'node:net';

const HEAD_END = '\r\n\r\n';

export class Replica {
  /** What it ran: `id`, `atMs`, `path`, `headers`. */
  ran = [];
  /** Every head that arrived, orders and reports included. */
  seen = [];
  running = 0;
  /** Requests that wait for a slot. */
  waiting = [];
  tickets = new Map();
  /** `answer(request, socket, replica)` answers one request that runs here. */
  answer = (request, socket) => plainAnswer(request, socket, 'ok');

  constructor(id, { service, zone, slots = 11, queue = 24 }) {
    Object.assign(this, { id, service, zone, slots, queue });
    this.sockets = new Set();
    this.state = 'ready';
    this.seqNo = 0;
  }

  async listen(address, port = 0) {
    this.server = createServer({ noDelay: true }, (socket) => this.#serve(socket));
    await new Promise((resolve) => this.server.listen(port, address, resolve));
    this.ip = address;
    this.port = this.server.address().port;
    this.address = `${address}:${String(this.port)}`;
  }

  /** Keeps its entry in the store, with a check-in about every `heartbeat_ms`. */
  enter(store) {
    this.store = store;
    const write = () => {
      this.seqNo += 1;
      const { service, address, zone, slots, state, seqNo } = this;
      const entry = { service, address, zone, version: 'v1', slots, state };
      store.put('servers', this.id, { ...entry, cold_remaining_ms: 0, seq_no: seqNo });
    };
    write();
    this.write = write;
    this.beats = setInterval(write, 1200);
  }

  /** Crashes: says nothing, its channels are reset. Its entry lapses after three check-ins. */
  crash() {
    clearInterval(this.beats);
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.lapse = setTimeout(() => this.store.remove('servers', this.id), 3 * 1200);
  }

  close() {
    clearInterval(this.beats);
    clearTimeout(this.lapse);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  #serve(socket) {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => this.sockets.delete(socket));
    let bytes = Buffer.alloc(0);
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      const request = parse(bytes);
      if (!request) return;
      bytes = bytes.subarray(request.length);
      this.#handle(request, socket);
    });
  }

  #handle(request, socket) {
    const { headers, path } = request;
    request.atMs = performance.now();
    this.seen.push(request);
    if (path === '/-/report') return json(socket, 200, this.#report());
    if (path === '/-/order') return json(socket, ...this.#order(JSON.parse(request.body)));
    const target = headers['poppypond-target-instance'];
    if (target !== undefined && target !== this.id) return decline(socket, 421);
    if (!headers['poppypond-request-id']) return decline(socket, 400);
    if (this.running < this.slots) return this.#run(request, socket);
    if (this.waiting.length >= this.queue) return decline(socket, 503);
    this.waiting.push({ request, socket });
  }

  /** Runs a request; its slot is free again when it is answered or its channel has closed. */
  #run(request, socket) {
    this.ran.push(request);
    this.running += 1;
    let isOver = false;
    request.end = () => {
      if (isOver) return;
      isOver = true;
      this.running -= 1;
      this.#runNext();
    };
    socket.once('close', request.end);
    this.answer(request, socket, this);
  }

  #runNext() {
    for (let next = this.waiting.shift(); next; next = this.waiting.shift())
      if (!next.socket.destroyed) return this.#run(next.request, next.socket);
  }

  #report() {
    const kv_used = [...this.tickets.values()].reduce((sum, { tokens }) => sum + tokens, 0);
    const models = [{ name: 'm', version: 1, adapters: [] }];
    const { running } = this;
    const queue_depth = this.waiting.length;
    const fixed = { stage: 'dual', models, busy: false, seq_no: 0, handles: 0, pace: 1 };
    return { ...fixed, queue_depth, running, kv_used, kv_total: 450_000 };
  }

  #order({ op, id, tokens, hold_ms }) {
    if (op === 'reserve') {
      clearTimeout(this.tickets.get(id)?.timer);
      const timer = setTimeout(() => this.tickets.delete(id), hold_ms);
      this.tickets.set(id, { tokens, timer });
      return [200, { free: 400_000 }];
    }
    if (op !== 'release') return [400, {}];
    clearTimeout(this.tickets.get(id)?.timer);
    this.tickets.delete(id);
    return [200, { free: 400_000 }];
  }
}

function parse(bytes) {
  const end = bytes.indexOf(HEAD_END);
  if (end < 0) return undefined;
  const [first, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n');
  const [method, path] = first.split(' ');
  const headers = {};
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  const bodyLength = Number(headers['content-length'] ?? 0);
  const length = end + HEAD_END.length + bodyLength;
  if (bytes.length < length) return undefined;
  const body = bytes.subarray(end + HEAD_END.length, length).toString('latin1');
  return { method, path, headers, body, length };
}

/** The head lines that every answer of a run carries. */
export function signedLines(request) {
  const id = request.headers['poppypond-request-id'];
  return [`Poppypond-Request-Id: ${id}`, 'Poppypond-Server-Signature: signed', 'Versions: 1'];
}

/** Sends a whole answer with a length. */
export function plainAnswer(request, socket, text, status = '200 OK') {
  const body = Buffer.from(text);
  const lines = [...signedLines(request), `Content-Length: ${String(body.length)}`];
  socket.write(`HTTP/1.1 ${status}\r\n${lines.join('\r\n')}${HEAD_END}`);
  socket.write(body);
}

function decline(socket, status) {
  const lines = ['Poppypond-Not-Executed: 1', 'Content-Length: 0'];
  socket.write(`HTTP/1.1 ${String(status)} Declined\r\n${lines.join('\r\n')}${HEAD_END}`);
}

function json(socket, status, value) {
  const body = JSON.stringify(value);
  const lines = ['Content-Type: application/json', `Content-Length: ${String(body.length)}`];
  socket.write(`HTTP/1.1 ${String(status)} OK\r\n${lines.join('\r\n')}${HEAD_END}${body}`);
}

/** Streams `count` events, one each `everyMs`, after `Last-Event-Id` if the request has one. */
export function streamAnswer(request, socket, count, everyMs) {
  const lines = [...signedLines(request), 'Content-Type: text/event-stream'];
  socket.write(`HTTP/1.1 200 OK\r\n${lines.join('\r\n')}\r\nTransfer-Encoding: chunked${HEAD_END}`);
  let sent = Number(request.headers['last-event-id'] ?? 0);
  const timer = setInterval(() => {
    sent += 1;
    request.sentEvents = sent;
    const event = `id: ${String(sent)}\ndata: ${'x'.repeat(50)}\n\n`;
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    if (sent < count) return;
    clearInterval(timer);
    socket.write('0\r\n\r\n');
    request.end();
  }, everyMs);
  socket.once('close', () => clearInterval(timer));
}
