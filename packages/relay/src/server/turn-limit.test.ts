import { expect, it } from 'vitest';
import { TurnLimit } from './turn-limit.js';

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

it('TurnLimit stops reading once in a turn that takes long, and reads on in the next one', async () => {
  const calls: string[] = [];
  const limit = new TurnLimit(
    () => calls.push('limit'),
    () => calls.push('next turn'),
  );
  for (let read = 0; read < 4; read += 1) limit.count(40);
  expect(calls).toEqual(['limit']);
  await nextTurn();
  expect(calls).toEqual(['limit', 'next turn']);
  limit.count(90);
  await nextTurn();
  limit.count(90);
  await nextTurn();
  expect(calls).toEqual(['limit', 'next turn']);
});
