import type { Clock, Milliseconds } from '@poppypond/core';
import { WithdrawnEvacuations } from '@poppypond/fleet';
import type {
  EvacuatedZones,
  EvacuationChange,
  EvacuationSet,
  WithdrawnEvacuation,
  ZoneEvacuation,
} from '@poppypond/fleet';
import type { Freshness } from '@poppypond/routing';
import type { Log } from '@poppypond/telemetry';
import type { PlatformRows, RowSet } from '../ports.js';

/**
 * How long requests wait after a process pause for the first confirmation of the evacuated zones.
 * Peers are asked at once and answer within a few milliseconds; a host that hears from nobody by
 * then has lost the store and its peers.
 */
const PAUSE_HOLD_MS: Milliseconds = 500;

/**
 * Time between the check and the arrival of a request at its server: opening the connection may take
 * 300 ms.
 */
const ARRIVAL_MARGIN_MS: Milliseconds = 400;

/** Dependencies of `Evacuations`. */
export interface EvacuationsParts {
  readonly clock: Clock;
  readonly log: Log;
  /** How recently the configuration, and the evacuated zones with it, were confirmed. */
  readonly freshness: Freshness;
  readonly rows: Pick<PlatformRows, 'evacuatedZoneOf'>;
  readonly zones: EvacuatedZones;
  /**
   * Bound on the time from the store accepting an evacuation until nothing new is sent to the zone;
   * none if undefined.
   */
  readonly withinMs?: Milliseconds | undefined;
}

/** Source of a set of evacuated zones. */
interface EvacuationSource {
  /** The host that reported it, or `store`. */
  readonly reportedBy: string;
  /** Age of the information; undefined if the source does not state it. */
  readonly ageMs: Milliseconds | undefined;
}

/** Applies the evacuated zones that the store or a peer reports, and logs each change. */
export class Evacuations {
  /** When the zones last changed, on this process's clock. */
  #changedAtMs: Milliseconds = Number.NEGATIVE_INFINITY;
  /** When the last process pause was noticed, on this process's clock. */
  #resumedAtMs: Milliseconds = Number.NEGATIVE_INFINITY;
  #onRead: () => void = () => undefined;
  #onReopened: (zone: string, atMs: Milliseconds) => void = () => undefined;
  readonly #withdrawn = new WithdrawnEvacuations();

  constructor(readonly parts: EvacuationsParts) {}

  /** Whether evacuations are followed. */
  get isEnabled(): boolean {
    return this.parts.zones.isEnabled;
  }

  /** Whether it is known which zones are evacuated; true if evacuations are not followed. */
  get isKnown(): boolean {
    return this.parts.zones.isKnown;
  }

  /** The newest known set; undefined before the first, or if evacuations are not followed. */
  get current(): EvacuationSet | undefined {
    return this.parts.zones.current;
  }

  /** Time since the zones were last confirmed as the newest; infinite before that. */
  get ageMs(): Milliseconds {
    return this.parts.freshness.ageMs();
  }

  /** Time since this host learned of the last change; infinite before the first. */
  get changedAgoMs(): Milliseconds {
    return this.parts.clock.monotonicMs() - this.#changedAtMs;
  }

  /**
   * Whether a process pause has just ended and the last confirmation of the zones is older than the
   * bound. A zone may have been evacuated during the pause, and requests that waited would be sent
   * there before any message is processed. A confirmation within the bound suffices: an evacuation
   * since then need not be in force yet.
   */
  get isUnconfirmed(): boolean {
    const { clock, withinMs = Number.POSITIVE_INFINITY } = this.parts;
    if (!this.isEnabled || clock.monotonicMs() - this.#resumedAtMs >= PAUSE_HOLD_MS) return false;
    return this.ageMs >= withinMs - ARRIVAL_MARGIN_MS;
  }

  /** Handles a process pause. */
  onPause(): void {
    this.#resumedAtMs = this.parts.clock.monotonicMs();
  }

  /** `callback` is called after a read of the store has changed the zones. */
  onRead(callback: () => void): void {
    this.#onRead = callback;
  }

  /**
   * `callback` is called for each zone whose evacuation was withdrawn, also if this host learns of
   * the evacuation only afterwards, with the time at which a host first learned of the withdrawal.
   */
  onReopened(callback: (zone: string, atMs: Milliseconds) => void): void {
    this.#onReopened = callback;
  }

  /** The evacuations that were withdrawn recently, for peers that may have missed them. */
  recentlyWithdrawn(): readonly WithdrawnEvacuation[] {
    return this.#withdrawn.recent(this.parts.clock.monotonicMs());
  }

  /** Applies what the host `reportedBy` knows about evacuations that were withdrawn. */
  applyWithdrawn(withdrawn: readonly WithdrawnEvacuation[], reportedBy: string): void {
    if (!this.isEnabled) return;
    for (const one of withdrawn) this.#recordWithdrawn(one, reportedBy, true);
  }

  /**
   * Applies the rows that the store returned to a call at `askedAtMs`: all of them if `sinceVersion`
   * is undefined, otherwise those that have changed since that version.
   */
  applyRead(sinceVersion: number | undefined, set: RowSet, askedAtMs: Milliseconds): void {
    const { clock, rows, zones } = this.parts;
    if (!zones.isEnabled) return;
    const changes = set.rows.flatMap(({ key, value }) => {
      const zone = rows.evacuatedZoneOf(key);
      return zone === undefined ? [] : [{ zone, isEvacuated: value !== undefined }];
    });
    const evacuated = changes.filter(({ isEvacuated }) => isEvacuated);
    const before = zones.current;
    const change =
      sinceVersion === undefined
        ? zones.replace({ version: set.version, zones: evacuated.map(({ zone }) => zone) })
        : zones.update(sinceVersion, set.version, changes);
    const source = { reportedBy: 'store', ageMs: clock.monotonicMs() - askedAtMs };
    if (change) this.#onChange(change, before, source);
    if (sinceVersion !== undefined && before)
      this.#recordMissed(sinceVersion, before, set.version, changes);
    if (change) this.#onRead();
  }

  /**
   * Applies a set that the host `reportedBy` knows; returns true if a zone's state changed here.
   * Does not confirm that it is the newest.
   */
  applyFromPeer(set: EvacuationSet, reportedBy: string, ageMs: Milliseconds | undefined): boolean {
    const before = this.current;
    const change = this.parts.zones.replace(set);
    if (change) this.#onChange(change, before, { reportedBy, ageMs });
    return change !== undefined;
  }

  #onChange(
    { evacuated, reopened }: EvacuationChange,
    before: EvacuationSet | undefined,
    source: EvacuationSource,
  ): void {
    const { clock, log } = this.parts;
    const nowMs = clock.monotonicMs();
    this.#changedAtMs = nowMs;
    const fields = {
      version: this.current?.version,
      age_ms: source.ageMs === undefined ? undefined : Math.round(source.ageMs),
      told_by: source.reportedBy,
    };
    for (const zone of evacuated) log.warn('zone_evacuated', { zone, ...fields });
    const version = this.current?.version ?? 0;
    for (const zone of reopened) {
      log.warn('zone_reopened', { zone, ...fields });
      // A peer may have stated this withdrawal with the set.
      if (before && this.#withdrawn.versionOf(zone) > before.version) continue;
      this.#recordWithdrawn({ zone, version, atMs: nowMs }, source.reportedBy, false);
    }
  }

  /**
   * Records zones that were evacuated and reopened after `sinceVersion`, without this host having
   * known that they were evacuated: the store returns their rows as removed.
   */
  #recordMissed(
    sinceVersion: number,
    before: EvacuationSet,
    version: number,
    changes: readonly ZoneEvacuation[],
  ): void {
    const atMs = this.parts.clock.monotonicMs();
    for (const { zone, isEvacuated } of changes) {
      if (isEvacuated || before.zones.includes(zone)) continue;
      if (this.#withdrawn.versionOf(zone) > sinceVersion) continue;
      this.#recordWithdrawn({ zone, version, atMs }, 'store', true);
    }
  }

  #recordWithdrawn(withdrawn: WithdrawnEvacuation, reportedBy: string, isMissed: boolean): void {
    const { clock, log, zones } = this.parts;
    const nowMs = clock.monotonicMs();
    const { zone, version, atMs } = withdrawn;
    if (!this.#withdrawn.add(withdrawn, nowMs)) return;
    if (isMissed && !zones.has(zone)) {
      const ageMs = Math.round(nowMs - atMs);
      log.warn('zone_reopened', {
        zone,
        version,
        age_ms: ageMs,
        told_by: reportedBy,
        missed: true,
      });
    }
    this.#onReopened(zone, atMs);
  }
}
