import { ManualClock } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { BoundedOutput } from './bounded-output.js';

const formatDroppedLine = (counts: Readonly<Record<string, number>>) =>
  `dropped=${JSON.stringify(counts)}\n`;

describe('BoundedOutput', () => {
  it('keeps important lines if ordinary ones exceed the limit, and counts dropped lines', async () => {
    const clock = new ManualClock();
    const written: string[] = [];
    const output = new BoundedOutput(
      clock,
      (text, done) => {
        written.push(text);
        done();
      },
      formatDroppedLine,
      { linesPerSecond: 10, bufferedCharacters: 1000 },
    );
    for (let index = 0; index < 20; index += 1) output.writeLine('o\n', 'ordinary');
    for (let index = 0; index < 5; index += 1) output.writeLine('i\n', 'important');
    await clock.advance(2000);
    const text = written.join('');
    expect(text.match(/o\n/g)).toHaveLength(7);
    expect(text.match(/i\n/g)).toHaveLength(3);
    expect(text).toContain('dropped={"ordinary":13,"important":2}');
  });

  it('does not block or grow if the reader has stalled', async () => {
    const clock = new ManualClock();
    let writes = 0;
    const output = new BoundedOutput(
      clock,
      () => {
        writes += 1;
      },
      formatDroppedLine,
      { linesPerSecond: 1000, bufferedCharacters: 100 },
    );
    for (let second = 0; second < 50; second += 1) {
      for (let index = 0; index < 100; index += 1) output.writeLine('0123456789', 'important');
      await clock.advance(1000);
    }
    expect(writes).toBe(1);
    await expect(Promise.race([output.drain(10), clock.advance(20)])).resolves.toBeUndefined();
  });
});
