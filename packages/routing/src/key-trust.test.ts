import { describe, expect, it } from 'vitest';
import { judgeKeys } from './key-trust.js';

const LONG_AGO_MS = 60_000;

describe('judgeKeys', () => {
  it.each([true, false])(
    'accepts keys if the confirmation is recent enough (confirmation required: %s)',
    (isRequired) => {
      const settings = { trustedMs: 1000, needsConfirmation: isRequired };
      expect(judgeKeys(settings, { ageMs: 1000, isBehind: false })).toBe('proved');
      expect(judgeKeys(settings, { ageMs: 0, isBehind: true })).toBe('proved');
    },
  );

  it('refuses keys without a valid confirmation if the installation requires one', () => {
    const settings = { trustedMs: 1000, needsConfirmation: true };
    expect(judgeKeys(settings, { ageMs: 1001, isBehind: false })).toBe('refused');
    expect(judgeKeys(settings, { ageMs: Number.POSITIVE_INFINITY, isBehind: false })).toBe(
      'refused',
    );
  });

  it('otherwise uses the last known configuration, unless a peer has a newer one', () => {
    const settings = { trustedMs: 1000, needsConfirmation: false };
    expect(judgeKeys(settings, { ageMs: LONG_AGO_MS, isBehind: false })).toBe('unproved');
    expect(judgeKeys(settings, { ageMs: Number.POSITIVE_INFINITY, isBehind: false })).toBe(
      'unproved',
    );
    expect(judgeKeys(settings, { ageMs: LONG_AGO_MS, isBehind: true })).toBe('refused');
  });
});
