import type { BackendServer } from '@poppypond/fleet';
import { engineServer, ManualClock } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { ReadWatch } from './read-watch.js';

/** A watch of engines of which the test says which answer. */
function watchOf() {
  const clock = new ManualClock();
  const dead = new Set<string>();
  const found: string[] = [];
  let asked = 0;
  const watch = new ReadWatch({
    clock,
    isAlive: ({ id }: BackendServer) => {
      asked += 1;
      return Promise.resolve(!dead.has(id));
    },
    onDead: ({ id }) => found.push(id),
  });
  const engines = ['i-1', 'i-2', 'i-3'].map(engineServer);
  return { clock, dead, found, watch, engines, askedCount: () => asked };
}

describe('ReadWatch', () => {
  it('finds an engine that has died within 0.8 s, and tells of it once', async () => {
    const { clock, dead, found, watch, engines } = watchOf();
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
    const { clock, found, engines } = watchOf();
    let questions = 0;
    const watch = new ReadWatch({
      clock,
      isAlive: () => Promise.resolve((questions += 1) % 2 === 0),
      onDead: ({ id }) => found.push(id),
    });
    watch.begin(engines.slice(0, 1));
    await clock.advance(4000);
    expect(found).toEqual([]);
  });

  it('asks nobody about reads that are over before the first question, nor after its end', async () => {
    const { clock, dead, found, watch, engines, askedCount } = watchOf();
    watch.begin(engines);
    await clock.advance(700);
    watch.end();
    dead.add('i-1');
    await clock.advance(2000);
    expect(askedCount()).toBe(0);
    expect(found).toEqual([]);
  });
});
