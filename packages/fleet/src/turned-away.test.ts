import { describe, expect, it } from 'vitest';
import { TurnedAway } from './turned-away.js';

describe('TurnedAway', () => {
  it('names servers that turned a request away in the last three seconds, each once', () => {
    const turnedAway = new TurnedAway();
    turnedAway.note('i-1', 0);
    turnedAway.note('i-2', 1000);
    turnedAway.note('i-1', 2000);
    expect(turnedAway.lately(3500)).toEqual(['i-2', 'i-1']);
    expect(turnedAway.lately(4500)).toEqual(['i-1']);
    expect(turnedAway.lately(5001)).toEqual([]);
  });
});
