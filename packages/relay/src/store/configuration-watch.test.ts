import { EvacuatedZones } from '@poppypond/fleet';
import { ManualClock } from '@poppypond/mocks';
import { ActiveConfiguration, Freshness } from '@poppypond/routing';
import { PrometheusMetrics, silentLog } from '@poppypond/telemetry';
import { Result } from 'true-myth';
import { describe, expect, it } from 'vitest';
import { StoreSyncState } from '../peers/store-sync-state.js';
import type { PlatformRows, RowStore } from '../ports.js';
import { ConfigurationWatch } from './configuration-watch.js';
import { CountedStore } from './counted-store.js';
import { Evacuations } from './evacuations.js';
import { ServerList } from './server-list.js';
import { StoreTurns } from './store-turns.js';
import { UnexpectedErrors } from '../unexpected-errors.js';

const CONFIGURATION = {
  version: 1,
  routes: [],
  services: [],
  requiresKeys: false,
  workspaces: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};
const ROWS: PlatformRows = {
  configurationTable: 'configuration',
  configurationKey: 'all',
  evacuatedZoneOf: () => undefined,
  serverTable: 'servers',
  parseConfiguration: () => Result.ok({ configuration: CONFIGURATION, unreadableEntries: [] }),
  parseServer: () => Result.err('not used'),
};

describe('ConfigurationWatch', () => {
  it('uses long polls of whole milliseconds for any bound', async () => {
    const clock = new ManualClock();
    const waits: number[] = [];
    const row = { key: 'all', value: Buffer.from('{}') };
    const set = { rows: [row], version: 1, storeNowMs: 0 };
    const unused = () => Promise.reject(new Error('not used'));
    const store: RowStore = {
      read: () => Promise.resolve(Result.ok(set)),
      changes: (_table, _after, waitMs) => {
        waits.push(waitMs);
        return Promise.resolve(Result.ok({ ...set, rows: [] }));
      },
      put: unused,
      remove: unused,
    };
    const activeConfiguration = new ActiveConfiguration();
    const freshness = new Freshness(clock);
    const list = new ServerList(clock, silentLog);
    const turns = new StoreTurns(clock, { isReader: () => true, isRankedFirst: true, turn: 0 });
    turns.onJoined();
    await clock.advance(100);
    const watch = new ConfigurationWatch({
      clock,
      log: silentLog,
      unexpectedErrors: new UnexpectedErrors(silentLog, new PrometheusMetrics()),
      store: new CountedStore(store, new PrometheusMetrics()),
      rows: ROWS,
      activeConfiguration,
      freshness,
      syncState: new StoreSyncState({ clock, activeConfiguration, freshness, list }),
      evacuations: new Evacuations({
        clock,
        log: silentLog,
        freshness,
        rows: ROWS,
        zones: list.evacuatedZones,
      }),
      turns,
      withinMs: 1999,
      onChange: () => undefined,
    });
    await watch.step();
    await watch.step();
    expect(waits).toEqual([700]);
    expect(activeConfiguration.version).toBe(1);
  });

  it('applies the evacuations of a read whose configuration is unreadable, and does not confirm anything by it', async () => {
    const clock = new ManualClock();
    const rows: PlatformRows = {
      ...ROWS,
      evacuatedZoneOf: (key) => (key === 'all' ? undefined : key),
      parseConfiguration: () => Result.err('unreadable'),
    };
    const stored = ['all', 'zone-b'].map((key) => ({ key, value: Buffer.from('{}') }));
    const unused = () => Promise.reject(new Error('not used'));
    const store: RowStore = {
      read: () => Promise.resolve(Result.ok({ rows: stored, version: 1, storeNowMs: 0 })),
      changes: unused,
      put: unused,
      remove: unused,
    };
    const activeConfiguration = new ActiveConfiguration();
    const freshness = new Freshness(clock);
    const zones = new EvacuatedZones(true);
    const list = new ServerList(clock, silentLog, 0, zones);
    const turns = new StoreTurns(clock, { isReader: () => true, isRankedFirst: true, turn: 0 });
    turns.onJoined();
    await clock.advance(100);
    const shared = { clock, log: silentLog, rows, freshness };
    const watch = new ConfigurationWatch({
      ...shared,
      unexpectedErrors: new UnexpectedErrors(silentLog, new PrometheusMetrics()),
      store: new CountedStore(store, new PrometheusMetrics()),
      activeConfiguration,
      syncState: new StoreSyncState({ clock, activeConfiguration, freshness, list }),
      evacuations: new Evacuations({ ...shared, zones }),
      turns,
      withinMs: 2000,
      onChange: () => undefined,
    });
    await watch.step();
    expect(zones.current).toEqual({ version: 1, zones: ['zone-b'] });
    expect(freshness.ageMs()).toBe(Number.POSITIVE_INFINITY);
  });

  // Guards against a host that never reads the configuration again after an exception.
  it('logs an exception and reads again', async () => {
    const clock = new ManualClock();
    const metrics = new PrometheusMetrics();
    let isThrowing = true;
    const rows: PlatformRows = {
      ...ROWS,
      parseConfiguration: () => {
        if (isThrowing) throw new Error('planted');
        return Result.ok({ configuration: CONFIGURATION, unreadableEntries: [] });
      },
    };
    const set = { rows: [{ key: 'all', value: Buffer.from('{}') }], version: 1, storeNowMs: 0 };
    const unused = () => Promise.reject(new Error('not used'));
    const store: RowStore = {
      read: () => Promise.resolve(Result.ok(set)),
      // The configuration does not change, so only a complete read returns it again.
      changes: (_table, _after, waitMs) =>
        new Promise((resolve) => {
          clock.after(waitMs, () => {
            resolve(Result.ok({ ...set, rows: [] }));
          });
        }),
      put: unused,
      remove: unused,
    };
    const activeConfiguration = new ActiveConfiguration();
    const freshness = new Freshness(clock);
    const list = new ServerList(clock, silentLog);
    const turns = new StoreTurns(clock, { isReader: () => true, isRankedFirst: true, turn: 0 });
    turns.onJoined();
    await clock.advance(100);
    const shared = { clock, log: silentLog, rows, freshness };
    const watch = new ConfigurationWatch({
      ...shared,
      unexpectedErrors: new UnexpectedErrors(silentLog, metrics),
      store: new CountedStore(store, metrics),
      activeConfiguration,
      syncState: new StoreSyncState({ clock, activeConfiguration, freshness, list }),
      evacuations: new Evacuations({ ...shared, zones: list.evacuatedZones }),
      turns,
      withinMs: 2000,
      onChange: () => undefined,
    });
    const ended = watch.run();
    await clock.advance(1000);
    expect(await metrics.text()).toMatch(
      /unexpected_errors_total{operation="configuration_watch"}/,
    );
    expect(activeConfiguration.table).toBeUndefined();
    expect(freshness.ageMs()).toBe(Number.POSITIVE_INFINITY);
    isThrowing = false;
    await clock.advance(5000);
    expect(activeConfiguration.version).toBe(1);
    watch.stop();
    await clock.advance(5000);
    await ended;
  });
});
