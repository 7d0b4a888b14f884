import { describe, expect, it } from 'vitest';
import { RecentRejections } from './turned-away.js';

describe('TurnedAway', () => {
  it('names servers that turned a request away in the last three seconds, each once', () => {
    const turnedAway = new RecentRejections();
    turnedAway.record('i-1', 0);
    turnedAway.record('i-2', 1000);
    turnedAway.record('i-1', 2000);
    expect(turnedAway.recentIds(3500)).toEqual(['i-2', 'i-1']);
    expect(turnedAway.recentIds(4500)).toEqual(['i-1']);
    expect(turnedAway.recentIds(5001)).toEqual([]);
  });
});
