import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { newOwner, newRequestId, formatOwner, parseOwner, parseRequestId } from './identifiers.js';
import { RESULT_CODES } from './result-codes.js';

const OUTCOME_BY_RANGE = [
  ['not_run', 1000],
  ['not_run', 2000],
  ['ran', 3000],
  ['unknown', 4000],
] as const;

describe('result codes', () => {
  it('match the table in docs/RESULT-CODES.md', () => {
    const page = readFileSync(new URL('../../../docs/RESULT-CODES.md', import.meta.url), 'utf8');
    const rows = page.split('\n').filter((line) => /^\| \d/.test(line));
    const cells = rows.map((row) =>
      row
        .split('|')
        .map((cell) => cell.trim())
        .slice(1, -1),
    );
    const expected = Object.entries(RESULT_CODES).map(([name, code]) => [
      String(code.number),
      `\`${name}\``,
      String(code.httpStatus),
      code.outcome,
      code.meaning,
    ]);
    expect(cells).toEqual(expected);
  });

  it('have unique numbers and one outcome per range', () => {
    const codes = Object.values(RESULT_CODES);
    expect(new Set(codes.map((code) => code.number)).size).toBe(codes.length);
    for (const [outcome, from] of OUTCOME_BY_RANGE) {
      const inRange = codes.filter(({ number }) => number >= from && number < from + 1000);
      for (const code of inRange) expect(code.outcome).toBe(outcome);
    }
  });
});

describe('identifiers', () => {
  it('are parsed back to the values that they were formatted from', () => {
    const owner = newOwner('host-1');
    expect(parseOwner(formatOwner(owner))).toEqual(owner);
    expect(parseRequestId(newRequestId('host-1', 1_796_213_661_452))).toEqual({
      host: 'host-1',
      wallMs: 1_796_213_661_452,
    });
    expect(parseRequestId('nonsense')).toBeUndefined();
  });
});
