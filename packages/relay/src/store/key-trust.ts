import type { Clock, Milliseconds } from '@poppypond/core';
import { judgeKeys } from '@poppypond/routing';
import type {
  ActiveConfiguration,
  Freshness,
  KeyTrustSettings,
  KeyVerdict,
} from '@poppypond/routing';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';
import type { StoreSyncState } from '../peers/store-sync-state.js';

/** Dependencies of KeyTrust. */
export interface KeyTrustParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: PrometheusMetrics;
  readonly activeConfiguration: ActiveConfiguration;
  readonly freshness: Freshness;
  readonly syncState: StoreSyncState;
}

/** Decides whether this host accepts keys now, and logs each change with its reasons. */
export class KeyTrust {
  #lastVerdict: KeyVerdict = 'refused';
  #lastChangeAtMs: Milliseconds;
  #hasBeenProved = false;

  constructor(
    readonly parts: KeyTrustParts,
    readonly settings: KeyTrustSettings,
  ) {
    this.#lastChangeAtMs = parts.clock.monotonicMs();
  }

  /** Judges keys by the current state of the configuration. */
  verdict(): KeyVerdict {
    const { freshness, activeConfiguration, syncState } = this.parts;
    if (!activeConfiguration.table) return 'refused';
    const ageMs = freshness.ageMs();
    const isBehind = syncState.isConfigurationBehind || activeConfiguration.isNewestUnreadable;
    const verdict = judgeKeys(this.settings, { ageMs, isBehind });
    if (verdict !== this.#lastVerdict) this.#onChange(verdict, ageMs);
    return verdict;
  }

  #onChange(verdict: KeyVerdict, ageMs: Milliseconds): void {
    const { clock, log, metrics, activeConfiguration, syncState } = this.parts;
    const nowMs = clock.monotonicMs();
    log.warn('keys_judged', {
      keys: verdict,
      before: this.#lastVerdict,
      before_for_ms: Math.round(nowMs - this.#lastChangeAtMs),
      configuration: activeConfiguration.version,
      configuration_age_ms: Math.round(ageMs),
      peer_has_newer: syncState.isConfigurationBehind,
      newest_unreadable: activeConfiguration.isNewestUnreadable,
      trusted_ms: this.settings.trustedMs,
      needs_proof: this.settings.needsConfirmation,
    });
    metrics.set('poppypond_configuration_unproved', verdict === 'unproved' ? 1 : 0);
    metrics.count('poppypond_key_judgements_total', { keys: verdict });
    if (verdict === 'proved' && !this.#hasBeenProved) {
      this.#hasBeenProved = true;
      metrics.set('poppypond_start_milliseconds', nowMs);
    }
    this.#lastVerdict = verdict;
    this.#lastChangeAtMs = nowMs;
  }
}
