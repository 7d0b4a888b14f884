import type { BackendServer } from '@poppypond/fleet';
import { engineServer, ManualClock } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { PrefillMonitor } from './prefill-monitor.js';

/** A watch of engines of which the test says which answer. */
function createMonitor() {
  const clock = new ManualClock();
  const unresponsive = new Set<string>();
  const found: string[] = [];
  let queries = 0;
  const monitor = new PrefillMonitor({
    clock,
    isResponsive: ({ id }: BackendServer) => {
      queries += 1;
      return Promise.resolve(!unresponsive.has(id));
    },
    onUnresponsive: ({ id }) => found.push(id),
  });
  const engines = ['i-1', 'i-2', 'i-3'].map(engineServer);
  return {
    clock,
    dead: unresponsive,
    found: found,
    watch: monitor,
    engines,
    queryCount: () => queries,
  };
}

describe('ReadWatch', () => {
  it('finds an engine that has died within 0.8 s, and tells of it once', async () => {
    const { clock, dead, found, watch, engines } = createMonitor();
    watch.begin(engines);
    await clock.advance(1000);
    expect(found).toEqual([]);
    dead.add('i-2');
    await clock.advance(800);
    expect(found).toEqual(['i-2']);
    dead.add('i-3');
    await clock.advance(2000);
    expect(found).toEqual(['i-2']);
  });

  it('forgives one question without an answer', async () => {
    const { clock, found, engines } = createMonitor();
    let queries = 0;
    const watch = new PrefillMonitor({
      clock,
      isResponsive: () => Promise.resolve((queries += 1) % 2 === 0),
      onUnresponsive: ({ id }) => found.push(id),
    });
    watch.begin(engines.slice(0, 1));
    await clock.advance(4000);
    expect(found).toEqual([]);
  });

  it('asks nobody about reads that are over before the first question, nor after its end', async () => {
    const { clock, dead, found, watch, engines, queryCount } = createMonitor();
    watch.begin(engines);
    await clock.advance(700);
    watch.end();
    dead.add('i-1');
    await clock.advance(2000);
    expect(queryCount()).toBe(0);
    expect(found).toEqual([]);
  });
});
