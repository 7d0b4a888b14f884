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
  it('fills all slots of the first engines with short prompts before it uses others', () => {
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

  it('splits a long prompt over engines whose writers it does not delay too long', () => {
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

  it('waits for engines without interference, and accepts more interference the longer it has waited', () => {
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
    // Even on the maximum number of engines, the first event would come after the caller has
    // disconnected.
    expect(plan(view, 300_000, { waitedMs: 11_900 }).kind).toBe('refuse');
  });

  /**
   * Returns a view in which all engines but the first `freeCount` prefill a part that takes
   * `partMs`.
   */
  function prefillingView(freeCount: number, partMs: number): FleetView {
    const view = new FleetView();
    for (const { id } of servers.slice(freeCount)) {
      view.begin(use(`prefill-${id}`, id, { partMs, isPrefilling: true, gapAimMs: 1000 }));
    }
    return view;
  }

  it('waits for prefills that end soon if that brings a long prompt within its target', () => {
    const late = plan(prefillingView(1, 400), 300_000);
    expect(late).toMatchObject({ kind: 'wait', rule: 'waits_for_reads' });
    // A prompt that would be late anyway leaves the last engine to prompts that can be in time.
    const hopeless = plan(prefillingView(1, 30_000), 300_000);
    expect(hopeless).toEqual({ kind: 'wait', rule: 'waits_for_idle_engines' });
    const repeated = plan(prefillingView(1, 30_000), 300_000, { isRepeated: true });
    expect(repeated).toMatchObject({ kind: 'place', readers: [] });
  });

  it('waits for more engines if its caller would disconnect before the first event otherwise', () => {
    const waited = { waitedMs: 7000 };
    expect(plan(prefillingView(1, 1000), 300_000, waited)).toMatchObject({
      rule: 'waits_for_reads',
    });
    expect(plan(prefillingView(1, 1000), 150_000, waited)).toMatchObject({ kind: 'place' });
    // The prefill of this prompt exceeds its target, so it must not take engine time from prompts
    // that can be in time.
    expect(plan(prefillingView(1, 1000), 220_000, waited)).toEqual({
      kind: 'refuse',
      rule: 'engines_needed_by_timely',
    });
  });

  it('refuses at once a prompt that no engines could serve before its caller disconnects', () => {
    const left = plan(new FleetView(), 900_000, { waitedMs: 11_000 });
    expect(left).toEqual({ kind: 'refuse', rule: 'caller_leaves_first' });
    expect(plan(new FleetView(), 900_000, { waitedMs: 9000 }).kind).toBe('place');
  });

  it('starts a late prompt if two in three engines are idle, and otherwise refuses it after one target', () => {
    const late = { waitedMs: 2900 };
    expect(plan(prefillingView(12, 5000), 400_000, late).kind).toBe('place');
    expect(plan(prefillingView(11, 5000), 400_000, late)).toMatchObject({ kind: 'wait' });
    expect(plan(prefillingView(11, 5000), 400_000, { waitedMs: 3100 })).toMatchObject({
      kind: 'refuse',
      rule: 'engines_needed_by_timely',
    });
  });

  it('splits a long prompt over no more engines than make it early', () => {
    const placed = plan(new FleetView(), 210_000);
    if (placed.kind !== 'place') throw new Error(placed.kind);
    expect(placed.readers.length + 1).toBeLessThan(6);
    expect(placed.expectedFirstMs).toBeLessThanOrEqual(3000 * 0.7);
    const pressed = plan(new FleetView(), 210_000, { waitedMs: 2000 });
    if (pressed.kind !== 'place') throw new Error(pressed.kind);
    expect(pressed.readers.length).toBeGreaterThan(placed.readers.length);
    expect(2000 + pressed.expectedFirstMs).toBeLessThanOrEqual(3000);
  });

  it('packs a longer prompt unsplit if that makes no answer late, and splits it otherwise', () => {
    const view = new FleetView();
    view.begin(use('tolerant', 'i-00', { gapAimMs: 400 }));
    expect(plan(view, 20_000)).toMatchObject({ rule: 'packed', readers: [] });
    view.begin(use('sensitive', 'i-00', { gapAimMs: 120 }));
    expect(plan(view, 20_000)).toMatchObject({ rule: 'parts_without_harm' });
  });

  it('avoids suspect engines unless there are no others', () => {
    const view = new FleetView();
    view.suspicions.add('i-00', 0);
    const placed = plan(view, 5000);
    expect(placed.kind === 'place' && placed.writer.server.id).toBe('i-01');
    for (const server of servers) view.suspicions.add(server.id, 0);
    expect(plan(view, 5000).kind).toBe('place');
  });

  it('distributes a prompt that exceeds the memory of one engine over others', () => {
    const placed = plan(new FleetView(), 900_000, { aimMs: 30_000 });
    if (placed.kind !== 'place') throw new Error(placed.kind);
    const shared = placed.shares.reduce((sum, { tokens }) => sum + tokens, 0);
    expect(shared).toBeGreaterThanOrEqual(900_000 + 1500 - ENGINE_FIGURES.memoryTokens);
    const readerIds = placed.readers.map((load) => load.server.id);
    for (const { engine } of placed.shares) expect(readerIds).toContain(engine.server.id);
  });
});

describe('shareMemory', () => {
  it('returns undefined if all engines together have too little memory', () => {
    const view = new FleetView();
    const loads = servers.slice(0, 2).map((server) => view.load(server, ENGINE_FIGURES, 0));
    const [writer, ...readers] = loads;
    if (!writer) throw new Error('no engine');
    expect(shareMemory(writer, readers, ENGINE_FIGURES, 1_000_000)).toBeUndefined();
    expect(shareMemory(writer, readers, ENGINE_FIGURES, 400_000)).toEqual([]);
  });
});

describe('FleetView', () => {
  it('counts prefills until their first event, and drops attempts that expired or that their host no longer lists', () => {
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
