import type { Milliseconds } from '@poppypond/core';
import type { FleetView } from '@poppypond/fleet';
import type { Peer, PeerAddress } from './peer-list.js';
import type { Heartbeat, WireQuarantineEntry } from './peer-messages.js';
import type { WireLimit } from './plan-messages.js';
import type { DatedStoreVersions, StoreSyncState } from './store-sync-state.js';
import { toWireAttemptUse } from './planning-wire-format.js';

/** What a heartbeat is made from. */
export interface HeartbeatInputs {
  readonly self: PeerAddress & { readonly incarnation: string };
  readonly fleet: FleetView;
  readonly syncState: StoreSyncState;
  readonly canPlan: boolean;
  /** Whether the receiver plans, so that it has to know what this host runs. */
  readonly isPlanner: boolean;
  /** Hosts that this one knows, itself included. */
  readonly memberCount: number;
  /** Whether the receiver is asked to answer at once. */
  readonly isQuestion: boolean;
  /** Requests under which servers ended. */
  readonly quarantine: WireQuarantineEntry[];
  /** Limits that servers name. */
  readonly limits: WireLimit[];
  /** The sender's monotonic clock. */
  readonly nowMs: Milliseconds;
}

function finiteOrNull(ageMs: Milliseconds): Milliseconds | null {
  return Number.isFinite(ageMs) ? ageMs : null;
}

function echoOf({ incarnation, lastSentAtMs }: Peer): Heartbeat['echo'] {
  if (incarnation === undefined || lastSentAtMs === undefined) return null;
  return { incarnation, sentAtMs: lastSentAtMs };
}

/** The heartbeat of this host for `peer`. */
export function makeHeartbeat(inputs: HeartbeatInputs, peer: Peer): Heartbeat {
  const { self, fleet, syncState, isPlanner, nowMs } = inputs;
  const { canPlan, memberCount, isQuestion, quarantine, limits } = inputs;
  const { host, incarnation, port, availabilityZone, capacity } = self;
  return {
    kind: 'beat',
    host,
    incarnation,
    port,
    sentAtMs: nowMs,
    echo: echoOf(peer),
    isStoreLost: syncState.isStoreLost,
    isQuestion,
    ...syncState.ownVersions,
    configurationAgeMs: finiteOrNull(syncState.configurationAgeMs),
    listAgeMs: finiteOrNull(syncState.listAgeMs),
    availabilityZone,
    capacity,
    memberCount,
    canPlan,
    uses: isPlanner ? fleet.attemptsOf(host).map((use) => toWireAttemptUse(use, nowMs)) : null,
    quarantine,
    limits,
  };
}

/**
 * What the sender of `beat` knew of the store, in instants of this process's clock; undefined where
 * it echoes no heartbeat of this process.
 */
export function datedVersionsOf(
  beat: Heartbeat,
  incarnation: string,
): DatedStoreVersions | undefined {
  if (beat.echo?.incarnation !== incarnation) return undefined;
  // Ages were told after our own beat had arrived there, so they held at that beat or later.
  const { sentAtMs } = beat.echo;
  const timeAtAge = (ageMs: number | null) => (ageMs === null ? undefined : sentAtMs - ageMs);
  return {
    configurationVersion: beat.configurationVersion,
    configurationAtMs: timeAtAge(beat.configurationAgeMs),
    listDigest: beat.listDigest,
    listVersion: beat.listVersion,
    listAtMs: timeAtAge(beat.listAgeMs),
  };
}
