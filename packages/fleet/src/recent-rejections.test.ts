import { describe, expect, it } from 'vitest';
import { RecentRejections } from './recent-rejections.js';

describe('RecentRejections', () => {
  it('returns the servers that rejected a request in the last three seconds, each once', () => {
    const rejections = new RecentRejections();
    rejections.record('i-1', 0);
    rejections.record('i-2', 1000);
    rejections.record('i-1', 2000);
    expect(rejections.recentIds(3500)).toEqual(['i-2', 'i-1']);
    expect(rejections.recentIds(4500)).toEqual(['i-1']);
    expect(rejections.recentIds(5001)).toEqual([]);
  });
});
