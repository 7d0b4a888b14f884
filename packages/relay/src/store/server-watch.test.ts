import { ManualClock } from '@poppypond/mocks';
import { ActiveConfiguration, Freshness } from '@poppypond/routing';
import { createLog, PrometheusMetrics } from '@poppypond/telemetry';
import { Result } from 'true-myth';
import { describe, expect, it } from 'vitest';
import { StoreSyncState } from '../peers/store-sync-state.js';
import type { PlatformRows, RowStore, ServerEntry, StoredRow } from '../ports.js';
import { CountedStore } from './counted-store.js';
import { ServerList } from './server-list.js';
import { ServerWatch } from './server-watch.js';
import { StoreTurns } from './store-turns.js';
import { UnexpectedErrors } from '../unexpected-errors.js';

const GOOD = Buffer.from('good');
const BAD = Buffer.from('bad');
const THROWS = Buffer.from('throws');

function parseServer(id: string, value: Buffer): Result<ServerEntry, string> {
  if (value.equals(THROWS)) throw new Error('planted');
  if (value.equals(BAD)) return Result.err('the value is not valid JSON');
  const place = { id, service: 's', address: '10.0.0.1', port: 1, availabilityZone: 'z' };
  return Result.ok({ server: { ...place, slots: 1, isDraining: false }, coldRemainingMs: 0 });
}

const ROWS: PlatformRows = {
  configurationTable: 'configuration',
  configurationKey: 'all',
  evacuatedZoneOf: () => undefined,
  serverTable: 'servers',
  parseConfiguration: () => Result.err('not used'),
  parseServer,
};

/** A watch of a store whose rows the test sets, and the lines that it logs. */
function createWatch() {
  const clock = new ManualClock();
  const lines: string[] = [];
  const log = createLog({ host: 'h' }, 'info', (line) => {
    lines.push(line);
  });
  const list = new ServerList(clock, log);
  let rows: readonly StoredRow[] = [];
  let version = 0;
  const unused = () => Promise.reject(new Error('not used'));
  const store: RowStore = {
    read: () => Promise.resolve(Result.ok({ rows, version, storeNowMs: 0 })),
    changes: unused,
    put: unused,
    remove: unused,
  };
  const activeConfiguration = new ActiveConfiguration();
  const syncState = new StoreSyncState({
    clock,
    activeConfiguration,
    freshness: new Freshness(clock),
    list,
  });
  const turns = new StoreTurns(clock, { turn: 0, isRankedFirst: true, isReader: () => true });
  turns.onJoined();
  const watch = new ServerWatch({
    clock,
    log,
    unexpectedErrors: new UnexpectedErrors(log, new PrometheusMetrics()),
    store: new CountedStore(store, new PrometheusMetrics()),
    rows: ROWS,
    list,
    syncState,
    turns,
    withinMs: 3000,
    onChange: () => undefined,
  });
  const write = (entries: Readonly<Record<string, Buffer>>) => {
    rows = Object.entries(entries).map(([key, value]) => ({ key, value }));
    version += 1;
  };
  const read = async (entries: Readonly<Record<string, Buffer>>) => {
    write(entries);
    await clock.advance(2000);
    await watch.step();
  };
  return { clock, lines, read, watch, write, ids: () => list.available('s').map(({ id }) => id) };
}

describe('ServerWatch', () => {
  it('uses the other entries beside an unusable one, and the entry again once it is valid', async () => {
    const { lines, read, ids } = createWatch();
    await read({ a: GOOD, b: BAD, c: GOOD });
    expect(ids()).toEqual(['a', 'c']);
    await read({ a: GOOD, b: BAD, c: GOOD });
    const told = () => lines.filter((line) => line.includes('event=server_entry_unusable'));
    expect(told()).toHaveLength(1);
    expect(told()[0]).toContain('server=b');
    await read({ a: GOOD, b: GOOD, c: GOOD });
    expect(ids()).toEqual(['a', 'b', 'c']);
    await read({ a: BAD, b: GOOD, c: GOOD });
    expect(ids()).toEqual(['b', 'c']);
  });

  // Guards against a host that never reads the list again after an exception.
  it('logs an exception and reads again', async () => {
    const { clock, ids, lines, watch, write } = createWatch();
    await clock.advance(100);
    write({ a: GOOD, b: THROWS });
    const ended = watch.run();
    await clock.advance(100);
    expect(lines.join('')).toContain('event=unexpected_error host=h operation=server_watch');
    expect(ids()).toEqual([]);
    write({ a: GOOD, b: GOOD });
    await clock.advance(3000);
    expect(ids()).toEqual(['a', 'b']);
    watch.stop();
    await clock.advance(3000);
    await ended;
  });

  it('logs one line for the first list, and one for each later change', async () => {
    const { lines, read } = createWatch();
    await read(
      Object.fromEntries(Array.from({ length: 60 }, (_, index) => [`i-${String(index)}`, GOOD])),
    );
    const listed = () => lines.filter((line) => /event=servers?_listed/.test(line));
    expect(listed()).toHaveLength(1);
    expect(listed()[0]).toContain('ready=60');
    await read(
      Object.fromEntries(Array.from({ length: 61 }, (_, index) => [`i-${String(index)}`, GOOD])),
    );
    expect(listed()).toHaveLength(2);
  });
});
