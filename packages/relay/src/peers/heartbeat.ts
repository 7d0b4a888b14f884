import type { Milliseconds } from '@poppypond/core';
import type { FleetView } from '@poppypond/fleet';
import type { Peer, PeerAddress } from './peer-list.js';
import type { Beat, WireQuarantine } from './peer-messages.js';
import type { WireLimit } from './plan-messages.js';
import type { DatedStoreVersions, StoreSyncState } from './store-sync-state.js';
import { toWireUse } from './work-on-the-wire.js';

/** What a heartbeat is made from. */
export interface BeatInputs {
  readonly self: PeerAddress & { readonly incarnation: string };
  readonly fleet: FleetView;
  readonly knowledge: StoreSyncState;
  readonly canPlan: boolean;
  /** Whether the receiver plans, so that it has to know what this host runs. */
  readonly isPlanner: boolean;
  /** Hosts that this one knows, itself included. */
  readonly memberCount: number;
  /** Whether the receiver is asked to answer at once. */
  readonly isQuestion: boolean;
  /** Requests under which servers ended. */
  readonly quarantine: WireQuarantine[];
  /** Limits that servers name. */
  readonly limits: WireLimit[];
  /** The sender's monotonic clock. */
  readonly nowMs: Milliseconds;
}

function finiteOrNull(ageMs: Milliseconds): Milliseconds | null {
  return Number.isFinite(ageMs) ? ageMs : null;
}

function echoOf({ incarnation, lastSentAtMs }: Peer): Beat['echo'] {
  if (incarnation === undefined || lastSentAtMs === undefined) return null;
  return { incarnation, sentAtMs: lastSentAtMs };
}

/** The heartbeat of this host for `peer`. */
export function makeBeat(inputs: BeatInputs, peer: Peer): Beat {
  const { self, fleet, knowledge, isPlanner, nowMs } = inputs;
  const { canPlan, memberCount, isQuestion, quarantine, limits } = inputs;
  const { host, incarnation, port, availabilityZone, capacity } = self;
  return {
    kind: 'beat',
    host,
    incarnation,
    port,
    sentAtMs: nowMs,
    echo: echoOf(peer),
    isStoreLost: knowledge.isStoreLost,
    isQuestion,
    ...knowledge.own,
    configurationAgeMs: finiteOrNull(knowledge.configurationAgeMs),
    listAgeMs: finiteOrNull(knowledge.listAgeMs),
    availabilityZone,
    capacity,
    memberCount,
    canPlan,
    uses: isPlanner ? fleet.attemptsOf(host).map((use) => toWireUse(use, nowMs)) : null,
    quarantine,
    limits,
  };
}

/**
 * What the sender of `beat` knew of the store, in instants of this process's clock; undefined where
 * it echoes no heartbeat of this process.
 */
export function datedWordOf(beat: Beat, incarnation: string): DatedStoreVersions | undefined {
  if (beat.echo?.incarnation !== incarnation) return undefined;
  // Ages were told after our own beat had arrived there, so they held at that beat or later.
  const { sentAtMs } = beat.echo;
  const dated = (ageMs: number | null) => (ageMs === null ? undefined : sentAtMs - ageMs);
  return {
    configurationVersion: beat.configurationVersion,
    configurationAtMs: dated(beat.configurationAgeMs),
    listDigest: beat.listDigest,
    listVersion: beat.listVersion,
    listAtMs: dated(beat.listAgeMs),
  };
}
