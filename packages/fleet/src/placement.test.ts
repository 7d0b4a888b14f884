import { ENGINE_FIGURES, engineServer } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { prefillTimeMs } from './engine-times.js';
import type { AttemptUse } from './attempt-use.js';
import type { BackendServer } from './backend-server.js';
import { FleetView } from './fleet-view.js';
import { planStream } from './place-stream.js';
import { shareMemory } from './share-memory.js';
import type { StreamDemand } from './stream-plan.js';

const servers: readonly BackendServer[] = Array.from({ length: 18 }, (_unused, index) =>
  engineServer(`i-${String(index).padStart(2, '0')}`),
);

function use(attemptId: string, writerId: string, more: Partial<AttemptUse> = {}): AttemptUse {
  return {
    attemptId,
    host: 'h',
    writerId,
    readerIds: [],
    partMs: 20,
    contextTokens: 6000,
    held: [],
    gapAimMs: 200,
    isPrefilling: false,
    placedAtMs: 0,
    expiresAtMs: 60_000,
    ...more,
  };
}

function plan(view: FleetView, promptTokens: number, more: Partial<StreamDemand> = {}) {
  const loads = servers.map((server) => view.load(server, ENGINE_FIGURES, 0));
  const long = promptTokens > 100_000;
  return planStream(loads, ENGINE_FIGURES, {
    promptTokens,
    answerTokens: 1500,
    aimMs: long ? 3000 : 300,
    waitedMs: 0,
    callerTimeoutMs: long ? 12_000 : 2000,
    isRepeated: false,
    ...more,
  });
}

describe('planStream', () => {
  it('fills all places of the first engines with short prompts before it begins with others', () => {
    const view = new FleetView();
    const counts = new Map<string, number>();
    for (let index = 0; index < 25; index += 1) {
      const placed = plan(view, 5000);
      if (placed.kind !== 'place') throw new Error(placed.kind);
      const { id } = placed.writer.server;
      counts.set(id, (counts.get(id) ?? 0) + 1);
      view.begin(use(String(index), id));
    }
    expect([...counts.values()]).toEqual([11, 11, 3]);
  });

  it('reads a long prompt in parts, on no engine whose writers would wait too long', () => {
    const view = new FleetView();
    for (let index = 0; index < 10; index += 1) view.begin(use(String(index), 'i-00'));
    const placed = plan(view, 210_000);
    if (placed.kind !== 'place') throw new Error(placed.kind);
    const engines = [placed.writer, ...placed.readers].map((load) => load.server.id);
    expect(placed.rule).toBe('parts_without_harm');
    expect(engines).not.toContain('i-00');
    expect(engines.length).toBeGreaterThan(1);
    expect(placed.partMs * engines.length).toBeCloseTo(prefillTimeMs(ENGINE_FIGURES, 210_000));
  });

  it('waits for engines that it would not disturb, and disturbs more the longer it has waited', () => {
    const view = new FleetView();
    for (const [index, server] of servers.entries()) {
      for (let writer = 0; writer < 8; writer += 1) {
        view.begin(use(`${String(index)}-${String(writer)}`, server.id));
      }
    }
    expect(plan(view, 300_000)).toMatchObject({ kind: 'wait', rule: 'waits_for_slack' });
    const kinds = Array.from({ length: 120 }, (_unused, index) => {
      return plan(view, 300_000, { waitedMs: index * 100 }).kind;
    });
    expect(kinds).toContain('place');
    expect(plan(view, 300_000, { waitedMs: 11_600 }).kind).toBe('place');
    // Read on as many engines as may share a prompt, it would begin after its caller has left.
    expect(plan(view, 300_000, { waitedMs: 11_900 }).kind).toBe('refuse');
  });

  /** All engines but `freeCount` read a part of a long prompt that ends in `partMs`. */
  function readingView(freeCount: number, partMs: number): FleetView {
    const view = new FleetView();
    for (const { id } of servers.slice(freeCount)) {
      view.begin(use(`read-${id}`, id, { partMs, isPrefilling: true, gapAimMs: 1000 }));
    }
    return view;
  }

  it('waits for reads that end soon where that makes a long prompt timely', () => {
    const late = plan(readingView(1, 400), 300_000);
    expect(late).toMatchObject({ kind: 'wait', rule: 'waits_for_reads' });
    // What would be late all the same leaves the last engine to prompts that can be in time.
    const hopeless = plan(readingView(1, 30_000), 300_000);
    expect(hopeless).toEqual({ kind: 'wait', rule: 'waits_for_idle_engines' });
    const repeated = plan(readingView(1, 30_000), 300_000, { isRepeated: true });
    expect(repeated).toMatchObject({ kind: 'place', readers: [] });
  });

  it('does not begin what its caller would leave before its first event, while more engines come', () => {
    const waited = { waitedMs: 7000 };
    expect(plan(readingView(1, 1000), 300_000, waited)).toMatchObject({ rule: 'waits_for_reads' });
    expect(plan(readingView(1, 1000), 150_000, waited)).toMatchObject({ kind: 'place' });
    // This one's reading takes longer than its aim, and so the time of prompts that can be in time.
    expect(plan(readingView(1, 1000), 220_000, waited)).toEqual({
      kind: 'refuse',
      rule: 'engines_needed_by_timely',
    });
  });

  it('refuses at once what no engines could serve before its caller leaves', () => {
    const left = plan(new FleetView(), 900_000, { waitedMs: 11_000 });
    expect(left).toEqual({ kind: 'refuse', rule: 'caller_leaves_first' });
    expect(plan(new FleetView(), 900_000, { waitedMs: 9000 }).kind).toBe('place');
  });

  it('begins a late prompt while two in three engines read nothing, and refuses it after one aim', () => {
    const late = { waitedMs: 2900 };
    expect(plan(readingView(12, 5000), 400_000, late).kind).toBe('place');
    expect(plan(readingView(11, 5000), 400_000, late)).toMatchObject({ kind: 'wait' });
    expect(plan(readingView(11, 5000), 400_000, { waitedMs: 3100 })).toMatchObject({
      kind: 'refuse',
      rule: 'engines_needed_by_timely',
    });
  });

  it('reads a long prompt on no more engines than make it early', () => {
    const placed = plan(new FleetView(), 210_000);
    if (placed.kind !== 'place') throw new Error(placed.kind);
    expect(placed.readers.length + 1).toBeLessThan(6);
    expect(placed.expectedFirstMs).toBeLessThanOrEqual(3000 * 0.7);
    const pressed = plan(new FleetView(), 210_000, { waitedMs: 2000 });
    if (pressed.kind !== 'place') throw new Error(pressed.kind);
    expect(pressed.readers.length).toBeGreaterThan(placed.readers.length);
    expect(2000 + pressed.expectedFirstMs).toBeLessThanOrEqual(3000);
  });

  it('packs a longer prompt whole where that makes nobody late, and splits it elsewhere', () => {
    const view = new FleetView();
    view.begin(use('patient', 'i-00', { gapAimMs: 400 }));
    expect(plan(view, 20_000)).toMatchObject({ rule: 'packed', readers: [] });
    view.begin(use('impatient', 'i-00', { gapAimMs: 120 }));
    expect(plan(view, 20_000)).toMatchObject({ rule: 'parts_without_harm' });
  });

  it('avoids suspects, unless there is nothing else', () => {
    const view = new FleetView();
    view.suspicions.add('i-00', 0);
    const placed = plan(view, 5000);
    expect(placed.kind === 'place' && placed.writer.server.id).toBe('i-01');
    for (const server of servers) view.suspicions.add(server.id, 0);
    expect(plan(view, 5000).kind).toBe('place');
  });

  it('spreads what one engine can not hold over others', () => {
    const placed = plan(new FleetView(), 900_000, { aimMs: 30_000 });
    if (placed.kind !== 'place') throw new Error(placed.kind);
    const shared = placed.shares.reduce((sum, { tokens }) => sum + tokens, 0);
    expect(shared).toBeGreaterThanOrEqual(900_000 + 1500 - ENGINE_FIGURES.memoryTokens);
    const readerIds = placed.readers.map((load) => load.server.id);
    for (const { engine } of placed.shares) expect(readerIds).toContain(engine.server.id);
  });
});

describe('shareMemory', () => {
  it('gives up where all engines together have too little', () => {
    const view = new FleetView();
    const loads = servers.slice(0, 2).map((server) => view.load(server, ENGINE_FIGURES, 0));
    const [writer, ...readers] = loads;
    if (!writer) throw new Error('no engine');
    expect(shareMemory(writer, readers, ENGINE_FIGURES, 1_000_000)).toBeUndefined();
    expect(shareMemory(writer, readers, ENGINE_FIGURES, 400_000)).toEqual([]);
  });
});

describe('FleetView', () => {
  it('counts reads until their first event, and forgets what has expired or whose host is gone', () => {
    const view = new FleetView();
    const [server] = servers;
    if (!server) throw new Error('no server');
    view.begin(use('a', server.id, { partMs: 100, isPrefilling: true }));
    expect(view.load(server, ENGINE_FIGURES, 0).pendingPrefillMs).toBeGreaterThanOrEqual(100);
    view.onPrefillDone('a');
    expect(view.load(server, ENGINE_FIGURES, 0).pendingPrefillMs).toBe(0);
    view.begin(use('b', server.id, { host: 'other', expiresAtMs: 10 }));
    view.expire(10);
    expect(view.size).toBe(1);
    view.replaceHost('h', [], 100);
    expect(view.size).toBe(1);
    view.replaceHost('h', [], 1000);
    expect(view.size).toBe(0);
  });
});
