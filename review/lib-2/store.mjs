// The platform's store, as far as relays use it: tables, a feed of changes, transactions.
import { createServer } from 'node:http';

const LOOPBACK = '127.0.0.1';

async function readBody(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return JSON.parse(Buffer.concat(chunks).toString() || '{}');
}

export class StoreStandIn {
  #ver = 1;
  #rows = new Map();
  #waiting = new Set();
  #server = createServer((message, response) => {
    this.#handle(message, response).catch(() => response.destroy());
  });
  port = 0;

  listen() {
    return new Promise((resolve) => {
      this.#server.listen(0, LOOPBACK, () => {
        this.port = this.#server.address().port;
        resolve();
      });
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a row as the operator or a replica does; returns when it is acknowledged. */
  put(table, key, value) {
    this.#write(table, key, Buffer.from(JSON.stringify(value)).toString('base64'));
  }

  remove(table, key) {
    this.#write(table, key, undefined);
  }

  #write(table, key, value) {
    this.#ver += 1;
    this.#rows.set(`${table}\n${key}`, { table, part: '', key, value, ver: this.#ver });
    for (const wake of [...this.#waiting]) wake();
  }

  #rowsOf(table) {
    return [...this.#rows.values()].filter((row) => row.table === table);
  }

  async #handle(message, response) {
    const url = new URL(message.url, 'http://store');
    const table = url.searchParams.get('table');
    if (url.pathname === '/-/rows-tx') return this.#transact(await readBody(message), response);
    if (url.pathname === '/-/rows-get') return this.#get(url, table, response);
    if (url.pathname === '/-/rows-feed') return this.#feed(url, table, response);
    this.#send(response, 404, {});
  }

  #transact({ expected_rev = [], put = [], remove = [] }, response) {
    const verOf = ({ table, key }) => {
      const row = this.#rows.get(`${table}\n${key}`);
      return row?.value === undefined ? 0 : row.ver;
    };
    if (expected_rev.some((row) => verOf(row) !== row.ver)) return this.#send(response, 412, {});
    for (const { table, key, value } of put) this.#write(table, key, value);
    for (const { table, key } of remove) this.#write(table, key, undefined);
    this.#send(response, 200, { ver: this.#ver, now_ms: performance.now() });
  }

  #get(url, table, response) {
    const from = url.searchParams.get('from') ?? '';
    const limit = Number(url.searchParams.get('limit') ?? 500);
    const rows = this.#rowsOf(table)
      .filter(({ key, value }) => value !== undefined && key >= from)
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    this.#sendRows(response, rows.slice(0, limit), rows.length > limit);
  }

  async #feed(url, table, response) {
    const after = Number(url.searchParams.get('after'));
    const until = performance.now() + Number(url.searchParams.get('wait_ms'));
    const changed = () => this.#rowsOf(table).filter(({ ver }) => ver > after);
    while (changed().length === 0 && performance.now() < until) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, until - performance.now());
        this.#waiting.add(wake);
      });
    }
    this.#sendRows(
      response,
      changed().sort((one, other) => one.ver - other.ver),
    );
  }

  #sendRows(response, rows, more = false) {
    const listed = rows.map(({ value, ...row }) =>
      value === undefined ? { ...row, gone: true } : { ...row, value },
    );
    this.#send(response, 200, { rows: listed, more, ver: this.#ver, now_ms: performance.now() });
  }

  #send(response, status, body) {
    response.writeHead(status, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify(body));
  }
}
