// Stand-in of the platform's metadata store, as PROTOCOL.md describes it: rows in tables,
// transactions with conditions, and the feed of changes. Linearizable, nothing is lost.
import { createServer } from 'node:http';

const HISTORY_MS = 20_000;

export class Store {
  #version = 0;
  #rows = new Map();
  #wakers = new Set();
  #trimmedTo = 0;
  #log = [];
  /** Called with each call; may return `hold`, a promise after which the call is handled. */
  onCall = () => undefined;

  async listen(address) {
    this.server = createServer((message, response) => {
      this.#handle(message, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.server.listen(0, address, resolve));
    this.address = `${address}:${String(this.server.address().port)}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a row as the operator or a replica does; returns its version, the acknowledgement. */
  put(table, key, value, part = '') {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.#version += 1;
    this.#write({ table, part, key, value: text });
    return this.#version;
  }

  remove(table, key, part = '') {
    this.#version += 1;
    this.#write({ table, part, key, value: undefined });
    return this.#version;
  }

  #write({ table, part, key, value }) {
    const row = { table, part, key, value, ver: this.#version, atMs: performance.now() };
    this.#rows.set(`${table}\0${part}\0${key}`, row);
    this.#log.push(row);
    while (this.#log.length > 0 && this.#log[0].atMs < performance.now() - HISTORY_MS)
      this.#trimmedTo = this.#log.shift().ver;
    for (const wake of [...this.#wakers]) wake();
  }

  async #handle(message, response) {
    const chunks = [];
    for await (const chunk of message) chunks.push(chunk);
    const url = new URL(message.url, 'http://store');
    await this.onCall({ path: url.pathname, table: url.searchParams.get('table'), message });
    if (url.pathname === '/-/rows-tx')
      return this.#transact(JSON.parse(Buffer.concat(chunks)), response);
    const table = url.searchParams.get('table') ?? '';
    if (url.pathname === '/-/rows-get') return this.#get(table, url.searchParams, response);
    if (url.pathname === '/-/rows-feed') return this.#feed(table, url.searchParams, response);
    return this.#send(response, 400, {});
  }

  #get(table, query, response) {
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && row.part === part && row.value !== undefined)
      .filter(({ key }) => key >= from)
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    this.#sendRows(response, rows.slice(0, limit), rows.length > limit);
  }

  async #feed(table, query, response) {
    const after = Number(query.get('after'));
    if (after < this.#trimmedTo) return this.#send(response, 410, {});
    const endMs = performance.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    const changed = () => {
      return [...this.#rows.values()].filter((row) => row.table === table && row.ver > after);
    };
    while (changed().length === 0 && performance.now() < endMs) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#wakers.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, endMs - performance.now());
        this.#wakers.add(wake);
      });
    }
    this.#sendRows(
      response,
      changed().sort((one, other) => one.ver - other.ver),
      false,
    );
  }

  #transact({ expected_rev = [], put = [], remove = [] }, response) {
    const find = ({ table, part = '', key }) => this.#rows.get(`${table}\0${part}\0${key}`);
    const revOf = (row) => (row?.value === undefined ? 0 : row.ver);
    if (expected_rev.some((expected) => revOf(find(expected)) !== expected.ver)) {
      const rows = expected_rev.map(find).filter((row) => row?.value !== undefined);
      return this.#sendRows(response, rows, false, 412);
    }
    if ([...put, ...remove].some(({ table }) => table === 'servers'))
      return this.#send(response, 403, {});
    this.#version += 1;
    for (const { table, part = '', key, value } of put) this.#write({ table, part, key, value });
    for (const { table, part = '', key } of remove)
      this.#write({ table, part, key, value: undefined });
    this.#send(response, 200, { ver: this.#version, now_ms: performance.now() });
  }

  #sendRows(response, rows, more, status = 200) {
    const listed = rows.map(({ table, part, key, value, ver }) =>
      value === undefined
        ? { table, part, key, ver, gone: true }
        : { table, part, key, value, ver },
    );
    const now_ms = performance.now();
    this.#send(response, status, { rows: listed, more, ver: this.#version, now_ms });
  }

  #send(response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  }
}
