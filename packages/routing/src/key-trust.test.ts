import { describe, expect, it } from 'vitest';
import { judgeKeys } from './key-trust.js';

const LONG_AGO_MS = 60_000;

describe('judgeKeys', () => {
  it.each([true, false])(
    'trusts keys by a proof that is young enough (needs proof: %s)',
    (needs) => {
      const settings = { trustedMs: 1000, needsConfirmation: needs };
      expect(judgeKeys(settings, { ageMs: 1000, isBehind: false })).toBe('proved');
      expect(judgeKeys(settings, { ageMs: 0, isBehind: true })).toBe('proved');
    },
  );

  it('refuses keys without proof where the installation needs one', () => {
    const settings = { trustedMs: 1000, needsConfirmation: true };
    expect(judgeKeys(settings, { ageMs: 1001, isBehind: false })).toBe('refused');
    expect(judgeKeys(settings, { ageMs: Number.POSITIVE_INFINITY, isBehind: false })).toBe(
      'refused',
    );
  });

  it('goes by the last known configuration elsewhere, but never by one that a peer has replaced', () => {
    const settings = { trustedMs: 1000, needsConfirmation: false };
    expect(judgeKeys(settings, { ageMs: LONG_AGO_MS, isBehind: false })).toBe('unproved');
    expect(judgeKeys(settings, { ageMs: Number.POSITIVE_INFINITY, isBehind: false })).toBe(
      'unproved',
    );
    expect(judgeKeys(settings, { ageMs: LONG_AGO_MS, isBehind: true })).toBe('refused');
  });
});
