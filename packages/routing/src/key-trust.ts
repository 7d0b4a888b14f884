import type { Milliseconds } from '@poppypond/core';

/**
 * Whether keys count by the configuration in force. `proved`: it was the newest a short while ago.
 * `unproved`: nothing says so, but nothing newer is known either, and the installation prefers
 * service to the bound on removed keys. `refused`: keys don't count.
 */
export type KeyVerdict = 'proved' | 'unproved' | 'refused';

/** What decides whether keys count. */
export interface KeyTrustInputs {
  /** Time since the configuration in force was proved the newest; infinite before that. */
  readonly ageMs: Milliseconds;
  /** Whether a peer is known to have a newer configuration. */
  readonly isBehind: boolean;
}

/** What operators set: see `keysTrustedMs` and `keysNeedProof` of the relay's settings. */
export interface KeyTrustSettings {
  /** A proof counts for this long. */
  readonly trustedMs: Milliseconds;
  /** Whether keys are refused without proof; else the last known configuration goes on to hold. */
  readonly needsConfirmation: boolean;
}

/**
 * Decides whether keys count. A configuration that a peer has replaced never serves without proof,
 * so no host goes by an older one than it has been told of.
 */
export function judgeKeys(settings: KeyTrustSettings, inputs: KeyTrustInputs): KeyVerdict {
  if (inputs.ageMs <= settings.trustedMs) return 'proved';
  return settings.needsConfirmation || inputs.isBehind ? 'refused' : 'unproved';
}
