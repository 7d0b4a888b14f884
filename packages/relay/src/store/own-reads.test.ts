import { ManualClock } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { OwnReads } from './own-reads.js';
import type { WatchKnowledge } from './own-reads.js';
import { StoreTurns } from './store-turns.js';

const KNOWN: WatchKnowledge = { isKnown: true, behindForMs: 0, wordAgeMs: 2900, oldAfterMs: 3000 };

function ownReads(knowledge: WatchKnowledge, turn = 0): OwnReads {
  const clock = new ManualClock();
  const turns = new StoreTurns(clock, { isReader: () => false, turn });
  turns.onJoined();
  return new OwnReads(clock, turns, () => knowledge);
}

describe('OwnReads', () => {
  it('pauses until the word of others is too old, and looks often while nothing is known', () => {
    expect(ownReads(KNOWN).pauseMs).toBe(100);
    expect(ownReads({ ...KNOWN, wordAgeMs: 100 }).pauseMs).toBe(250);
    expect(ownReads({ ...KNOWN, isKnown: false }).pauseMs).toBe(20);
  });

  // Before, every host looked 50 times a second for as long as an outage lasted.
  it('looks four times a second where its word is old and others have their turn before it', () => {
    const waiting = ownReads({ ...KNOWN, wordAgeMs: 3100 }, 5);
    expect(waiting.reason).toBeUndefined();
    expect(waiting.pauseMs).toBe(250);
    expect(ownReads({ ...KNOWN, wordAgeMs: 3100 }).reason).toBe('old_word');
  });

  it('asks again only after another while where it has its turn late', () => {
    const late = ownReads({ ...KNOWN, wordAgeMs: 60_000 }, 5);
    expect(late.reason).toBe('old_word');
    late.noteRead();
    expect(late.reason).toBeUndefined();
  });
});
