import { engineServer } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import type { EngineMemory, ServerNotice } from '../ports.js';
import { GatedEngineMemory } from './gated-engine-memory.js';

const SERVER = engineServer('i-1');
const WORD: ServerNotice = { isLeaving: true, backoffMs: undefined };

/** An engine that answers all, and what it was sent; `restMs`: how long it rests, `orders` may be sent still. */
function engine(restMs: number, orders: number) {
  const sent: string[] = [];
  const heard: string[] = [];
  const memory: EngineMemory = {
    reserve: (_server, _id, _tokens, holdMs) => {
      sent.push(`reserve for ${String(holdMs)}`);
      return Promise.resolve({ isHeld: true, startedAtMs: 7, word: WORD });
    },
    release: () => {
      sent.push('release');
      return Promise.resolve({ isAnswered: true, word: WORD });
    },
    readStatus: () => {
      sent.push('question');
      return Promise.resolve({ running: 3, memoryTokens: 5, word: WORD });
    },
  };
  let left = orders;
  const words = {
    onStartTime: () => heard.push('birth'),
    onNotice: ({ id }: { readonly id: string }) => heard.push(`${id} speaks`),
  };
  const gate = {
    isLimited: () => false,
    tryQuestion: () => Promise.resolve(restMs === 0),
    tryOrder: () => {
      left -= 1;
      return left >= 0;
    },
    restLeftMs: () => restMs,
  };
  return { sent, heard, guarded: new GatedEngineMemory(memory, words, gate) };
}

describe('LifeAwareMemory', () => {
  it('passes on what engines say of themselves in answers of all kinds', async () => {
    const { heard, guarded } = engine(0, 9);
    await guarded.reserve(SERVER, 'm', 10, 2200);
    await guarded.release(SERVER, 'm');
    await guarded.readStatus(SERVER);
    expect(heard).toEqual(['birth', 'i-1 speaks', 'i-1 speaks', 'i-1 speaks']);
  });

  it('asks an engine that rests nothing, which counts as alive', async () => {
    const { sent, guarded } = engine(3000, 2);
    expect(await guarded.readStatus(SERVER)).toEqual({ running: 0, memoryTokens: 0 });
    expect(sent).toEqual([]);
  });

  it('holds memory over a rest by one order, and sends no more than may be sent', async () => {
    const { sent, guarded } = engine(3000, 2);
    expect((await guarded.reserve(SERVER, 'm', 10, 2200)).isHeld).toBe(true);
    expect((await guarded.release(SERVER, 'm')).isAnswered).toBe(true);
    expect((await guarded.reserve(SERVER, 'm', 10, 2200)).isHeld).toBe(false);
    expect((await guarded.release(SERVER, 'm')).isAnswered).toBe(false);
    expect(sent).toEqual(['reserve for 5200', 'release']);
  });
});
