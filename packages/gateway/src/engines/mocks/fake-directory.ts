import type { Clock } from '@poppypond/core';
import { EngineLoad, ServerHealth } from '@poppypond/policy';
import type { LoadReport } from '@poppypond/policy';
import type { OpenEngine, OpenEngines } from '../engine-directory.js';

const MAX_REPORT_AGE_MS = 3000;

/** How an engine is known to leave. */
export type LeavingWord = 'own-word' | 'list' | 'silent';

interface FakeEngine extends OpenEngine {
  readonly words: Set<LeavingWord>;
}

function report(isLeaving: boolean): LoadReport {
  return {
    sequence: 1,
    seen: 0,
    running: 0,
    decoding: 0,
    waiting: 0,
    prefillByPriority: [],
    heldTokens: 0,
    kvTokens: 400_000,
    role: 'any',
    isLeaving,
    models: { m: '1' },
  };
}

/** Engines whose reports a test sends; they leave by own word, by the list, or go silent. */
export class FakeDirectory implements OpenEngines {
  readonly #engines: FakeEngine[];

  constructor(
    count: number,
    readonly clock: Clock,
  ) {
    this.#engines = Array.from({ length: count }, (_, index) => {
      const name = `e${String(index)}`;
      const load = new EngineLoad(name, 'a', 100);
      const watched = { name, url: '', load, health: new ServerHealth() };
      return { watched, state: load.state(0), words: new Set() };
    });
    this.report();
  }

  indexOf(name: string): number {
    return this.#engines.findIndex(({ watched }) => watched.name === name);
  }

  leave(index: number, word: LeavingWord): void {
    this.#engines[index]?.words.add(word);
  }

  comeBack(index: number): void {
    this.#engines[index]?.words.clear();
  }

  report(): void {
    const now = this.clock.monotonicMs();
    for (const { watched, words } of this.#engines) {
      if (!words.has('silent')) watched.load.onReport(report(words.has('own-word')), now);
    }
  }

  open(): readonly OpenEngine[] {
    const now = this.clock.monotonicMs();
    return this.#engines
      .filter(({ watched, words }) => {
        const isFresh = now - watched.load.reportAtMs <= MAX_REPORT_AGE_MS;
        return isFresh && !words.has('list') && watched.load.report?.isLeaving === false;
      })
      .map(({ watched }) => ({ watched, state: watched.load.state(now) }));
  }

  all(): readonly OpenEngine['watched'][] {
    return this.#engines.map(({ watched }) => watched);
  }
}
