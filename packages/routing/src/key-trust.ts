import type { Milliseconds } from '@poppypond/core';

/**
 * Whether API keys are accepted by the active configuration. `proved`: it was confirmed as the
 * newest version recently enough. `unproved`: it was not, but no newer version is known, and the
 * installation prefers availability to the time bound for removed keys. `refused`: keys are not
 * accepted.
 */
export type KeyVerdict = 'proved' | 'unproved' | 'refused';

/** State that decides whether keys are accepted. */
export interface KeyTrustInputs {
  /**
   * Time since the active configuration was confirmed as the newest version; infinite before the
   * first confirmation.
   */
  readonly ageMs: Milliseconds;
  /** Whether a newer configuration is known to exist, from a peer or from the store. */
  readonly isBehind: boolean;
}

/** Settings of the operator; see `keysTrustedMs` and `keysNeedProof` in the relay's settings. */
export interface KeyTrustSettings {
  /** How long a confirmation is valid. */
  readonly trustedMs: Milliseconds;
  /**
   * Whether keys are refused without a valid confirmation; otherwise the last known configuration
   * stays in use.
   */
  readonly needsConfirmation: boolean;
}

/**
 * Decides whether keys are accepted. Without a valid confirmation, a configuration is not used if a
 * newer one is known, so no host uses an older version than it has been told of.
 */
export function judgeKeys(settings: KeyTrustSettings, inputs: KeyTrustInputs): KeyVerdict {
  if (inputs.ageMs <= settings.trustedMs) return 'proved';
  return settings.needsConfirmation || inputs.isBehind ? 'refused' : 'unproved';
}
