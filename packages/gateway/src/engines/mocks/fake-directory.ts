import type { Clock } from '@poppypond/core';
import { EngineLoad, ServerHealth } from '@poppypond/policy';
import type { LoadReport } from '@poppypond/policy';
import type { AvailableEngine, EngineSource } from '../engine-directory.js';

const MAX_REPORT_AGE_MS = 3000;

/**
 * How a host learns that an engine is leaving: from the engine's own load report, from the host
 * list, or because its load reports stop.
 */
export type LeavingSource = 'own-word' | 'list' | 'silent';

interface FakeEngine extends AvailableEngine {
  readonly leavingSources: Set<LeavingSource>;
}

function buildReport(isLeaving: boolean): LoadReport {
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

/** Engines whose load reports are sent by the test. */
export class FakeDirectory implements EngineSource {
  readonly #engines: FakeEngine[];

  constructor(
    count: number,
    readonly clock: Clock,
  ) {
    this.#engines = Array.from({ length: count }, (_, index) => {
      const name = `e${String(index)}`;
      const load = new EngineLoad(name, 'a', 100);
      const engine = { name, url: '', load, health: new ServerHealth() };
      return { engine, state: load.state(0), leavingSources: new Set() };
    });
    this.sendReports();
  }

  indexOf(name: string): number {
    return this.#engines.findIndex(({ engine }) => engine.name === name);
  }

  leave(index: number, word: LeavingSource): void {
    this.#engines[index]?.leavingSources.add(word);
  }

  restore(index: number): void {
    this.#engines[index]?.leavingSources.clear();
  }

  sendReports(): void {
    const now = this.clock.monotonicMs();
    for (const { engine, leavingSources } of this.#engines) {
      if (!leavingSources.has('silent'))
        engine.load.onReport(buildReport(leavingSources.has('own-word')), now);
    }
  }

  listAvailable(): readonly AvailableEngine[] {
    const now = this.clock.monotonicMs();
    return this.#engines
      .filter(({ engine, leavingSources }) => {
        const isFresh = now - engine.load.reportAtMs <= MAX_REPORT_AGE_MS;
        return isFresh && !leavingSources.has('list') && engine.load.report?.isLeaving === false;
      })
      .map(({ engine }) => ({ engine, state: engine.load.state(now) }));
  }

  all(): readonly AvailableEngine['engine'][] {
    return this.#engines.map(({ engine }) => engine);
  }
}
