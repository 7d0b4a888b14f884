import { passTimeMs, prefillComputeMs } from '@poppypond/fleet';
import { describe, expect, it } from 'vitest';
import { EmulatedEngine } from './emulated-engine.js';
import { VirtualClock } from './virtual-clock.js';

const FIGURES = {
  slots: 2,
  memoryTokens: 405_000,
  stepsPerPass: 34,
  stepMs: 1.31,
  stepMsPerSequence: 0.001,
  stepMsPerThousandTokens: 0.002,
  prefillTokensPerMs: 154,
  prefillTokensPerStep: 2048,
  prefillMsPerMillionPairs: 0.162,
  usualAnswerTokens: 1300,
};

function createEngine() {
  const clock = new VirtualClock();
  const engine = new EmulatedEngine(clock, FIGURES);
  const seen: string[] = [];
  const record = (what: string) => {
    seen.push(`${what} ${clock.monotonicMs().toFixed(1)}`);
  };
  const read = (streamId: string, tokens: number, isForOtherEngine = false) => {
    const computeMs = prefillComputeMs(FIGURES, tokens);
    const onPrefilled = () => {
      record(`${streamId} read`);
    };
    engine.read({ streamId, tokens, computeMs, isForOtherEngine, onPrefilled });
  };
  const decode = (streamId: string, contextTokens: number, events: number) => {
    const onEvent = (isLast: boolean) => {
      record(`${streamId} ${isLast ? 'last' : 'event'}`);
    };
    engine.decode({ streamId, contextTokens, events, onEvent });
  };
  return { clock, engine, seen, read, decode };
}

describe('EmulatedEngine', () => {
  it('prefills a prompt in the time of its tokens, pairs and steps', () => {
    const { clock, seen, read } = createEngine();
    read('a', 5000);
    clock.runUntil(1000);
    // 5,000 / 154 ms for the tokens, 12.5 million pairs at 0.162 ms, three steps of at most 2,048
    // tokens.
    expect(seen).toEqual(['a read 38.4']);
  });

  it('emits one event per pass and prefills between the steps of a pass', () => {
    const { clock, seen, read, decode } = createEngine();
    decode('a', 10_000, 2);
    clock.runUntil(1);
    read('b', 5000, true);
    clock.runUntil(1000);
    const passMs = passTimeMs(FIGURES, 1, 10_000);
    const secondMs = 2 * passMs + prefillComputeMs(FIGURES, 5000);
    expect(seen).toEqual([
      `a event ${passMs.toFixed(1)}`,
      `a last ${secondMs.toFixed(1)}`,
      `b read ${secondMs.toFixed(1)}`,
    ]);
  });

  it('prefills parts for other engines before own prompts, and newer parts first', () => {
    const { clock, seen, read } = createEngine();
    read('own', 20_000);
    clock.runUntil(1);
    read('older', 2000, true);
    read('newer', 2000, true);
    clock.runUntil(1000);
    expect(seen.map((line) => line.split(' ')[0])).toEqual(['newer', 'older', 'own']);
  });

  it('runs no more streams than it has slots, and starts the next when one ends', () => {
    const { clock, engine, seen, read } = createEngine();
    for (const id of ['a', 'b', 'c']) read(id, 1000);
    clock.runUntil(500);
    expect(seen).toHaveLength(2);
    engine.cancel('a');
    clock.runUntil(1000);
    expect(seen.at(-1)).toMatch(/^c read/);
  });
});
