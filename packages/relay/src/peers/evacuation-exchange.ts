import type { Milliseconds } from '@poppypond/core';
import type { EvacuationSet } from '@poppypond/fleet';
import type { Evacuations } from '../store/evacuations.js';
import type { ExchangeParts } from './exchange-parts.js';
import type { PeerClocks } from './peer-clocks.js';
import type { Peer } from './peer-list.js';
import type { EvacuationsMessage, Heartbeat } from './peer-messages.js';
import type { WireEvacuations, WirePlanRequest } from './plan-messages.js';
import { ZoneBroadcast } from './zone-broadcast.js';

/** Dependencies of `EvacuationExchange`. */
export interface EvacuationExchangeParts extends ExchangeParts {
  readonly evacuations: Evacuations;
  readonly clocks: PeerClocks;
}

/**
 * Plan requests carry the set for this long after a change. After that, planners know it from
 * heartbeats even if several were lost.
 */
const RECENT_CHANGE_MS: Milliseconds = 5000;

function toWire({ version, zones }: EvacuationSet): WireEvacuations {
  return { version, zones: [...zones] };
}

/**
 * Broadcasts the set of evacuated zones once per change. Heartbeats carry it too: they make up for
 * lost messages, inform hosts that have just started, and confirm that it is the newest.
 */
export class EvacuationExchange {
  readonly #broadcast: ZoneBroadcast<EvacuationSet>;
  /** Version of the last set that this host broadcast or forwarded. */
  #sentVersion = Number.NEGATIVE_INFINITY;

  constructor(readonly parts: EvacuationExchangeParts) {
    this.#broadcast = new ZoneBroadcast(parts.peers, (to, set, passOn) => {
      this.#send(to, set, passOn);
    });
  }

  /** Broadcasts the set, which this host has read from the store. */
  publish(): void {
    const { current } = this.parts.evacuations;
    if (!current || current.version <= this.#sentVersion) return;
    this.#sentVersion = current.version;
    this.#broadcast.publish(current);
  }

  /** The set for a heartbeat; undefined if it is not known or evacuations are not followed. */
  forHeartbeat(): WireEvacuations | undefined {
    const { clock, evacuations } = this.parts;
    const { current } = evacuations;
    if (!current) return undefined;
    const nowMs = clock.monotonicMs();
    const withdrawn = evacuations
      .recentlyWithdrawn()
      .map(({ zone, version, atMs }): [string, number, number] => {
        return [zone, version, Math.max(0, Math.round(nowMs - atMs))];
      });
    return { ...toWire(current), ...(withdrawn.length > 0 && { withdrawn }) };
  }

  /** The field of a plan request that informs the planner of a recent change. */
  forPlanRequest(): Pick<WirePlanRequest, 'evacuations'> {
    const { current, changedAgoMs } = this.parts.evacuations;
    return current && changedAgoMs < RECENT_CHANGE_MS ? { evacuations: toWire(current) } : {};
  }

  /**
   * Whether a heartbeat may confirm this host's configuration: its sender states the evacuated
   * zones, or this host does not follow evacuations.
   */
  isSetStated({ evacuations }: Heartbeat): boolean {
    return !this.parts.evacuations.isEnabled || evacuations !== undefined;
  }

  /** Applies the set in a heartbeat. */
  onHeartbeat(beat: Heartbeat): void {
    const { evacuations, configurationAgeMs, host } = beat;
    if (!evacuations) return;
    const { clock, clocks } = this.parts;
    const datedMs = clocks.sentAt(beat, clock.monotonicMs());
    const withdrawn = evacuations.withdrawn?.map(([zone, version, agoMs]) => {
      return { zone, version, atMs: datedMs - agoMs };
    });
    if (withdrawn) this.parts.evacuations.applyWithdrawn(withdrawn, host);
    this.#apply(evacuations, host, configurationAgeMs ?? undefined);
  }

  /** Applies the set in a plan request. */
  onPlanRequest({ evacuations }: WirePlanRequest, host: string): void {
    if (evacuations) this.#apply(evacuations, host, undefined);
  }

  /**
   * Applies a broadcast set. Forwards it if it asks for that, once for each version, even if this
   * host already knows it from a heartbeat: the other hosts of its zone may not.
   */
  onMessage({ evacuations, ageMs, host, passOn }: EvacuationsMessage): void {
    this.#apply(evacuations, host, ageMs ?? undefined);
    const { current } = this.parts.evacuations;
    if (!passOn || !current || evacuations.version <= this.#sentVersion) return;
    this.#sentVersion = current.version;
    this.#broadcast.passOn(current);
  }

  /** Applies a set of a peer; a coordinator to which it is new broadcasts it. */
  #apply(set: EvacuationSet, host: string, ageMs: Milliseconds | undefined): void {
    const isChanged = this.parts.evacuations.applyFromPeer(set, host, ageMs);
    if (isChanged && this.parts.peers.isCoordinator()) this.publish();
  }

  #send(peers: readonly Peer[], set: EvacuationSet, passOn: boolean): void {
    if (peers.length === 0) return;
    const { evacuations, send, senderFields } = this.parts;
    const { ageMs } = evacuations;
    send(peers, {
      kind: 'evacuations',
      ...senderFields(),
      evacuations: toWire(set),
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
      passOn,
    });
  }
}
