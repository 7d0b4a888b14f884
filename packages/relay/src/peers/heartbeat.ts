import type { Milliseconds } from '@poppypond/core';
import type { FleetView } from '@poppypond/fleet';
import type { Peer, PeerAddress } from './peer-list.js';
import { MESSAGE_FORMAT_VERSION } from './peer-messages.js';
import type { Heartbeat, WireQuarantineEntry, WireResult } from './peer-messages.js';
import type {
  WireAdmission,
  WireColdServer,
  WireEvacuations,
  WireLimit,
  WireSpeed,
} from './plan-messages.js';
import type { DatedStoreVersions, StoreSyncState } from './store-sync-state.js';
import type { WithdrawalFields } from './withdrawal-exchange.js';
import { toWireAttemptUse } from './planning-wire-format.js';

/** Inputs for a heartbeat. */
export interface HeartbeatInputs {
  readonly self: PeerAddress & { readonly incarnation: string };
  readonly fleet: FleetView;
  readonly syncState: StoreSyncState;
  readonly canPlan: boolean;
  /** Whether the receiver is a planner, which has to know the attempts of this host. */
  readonly isPlanner: boolean;
  /** Number of hosts that this one knows, itself included. */
  readonly memberCount: number;
  /** Whether the receiver has to answer at once. */
  readonly isQuestion: boolean;
  /** Requests during which servers terminated. */
  readonly quarantine: WireQuarantineEntry[];
  /** Rate limits that servers report. */
  readonly limits: WireLimit[];
  /** The evacuated zones; undefined if they are not known or not followed. */
  readonly evacuations: WireEvacuations | undefined;
  /** Cold servers; undefined if there are none. */
  readonly cold: WireColdServer[] | undefined;
  /** Speeds of servers; undefined if all are even. */
  readonly speeds: WireSpeed[] | undefined;
  /** Admission state for a standby planner; undefined if there is none to send. */
  readonly admission: WireAdmission[] | undefined;
  /** Results of calls to plain servers; undefined if there are none to report. */
  readonly results: WireResult[] | undefined;
  /** What it says about full hosts. */
  readonly withdrawal: WithdrawalFields;
  /** Time on the sender's monotonic clock. */
  readonly nowMs: Milliseconds;
}

function finiteOrNull(ageMs: Milliseconds): Milliseconds | null {
  return Number.isFinite(ageMs) ? ageMs : null;
}

function echoOf({ incarnation, lastSentAtMs }: Peer): Heartbeat['echo'] {
  if (incarnation === undefined || lastSentAtMs === undefined) return null;
  return { incarnation, sentAtMs: lastSentAtMs };
}

/** Creates this host's heartbeat for `peer`. */
export function makeHeartbeat(inputs: HeartbeatInputs, peer: Peer): Heartbeat {
  const { self, fleet, syncState, isPlanner, nowMs } = inputs;
  const { canPlan, memberCount, isQuestion, quarantine, limits } = inputs;
  const { evacuations, cold, speeds, admission } = inputs;
  const { host, incarnation, port, availabilityZone, capacity } = self;
  return {
    kind: 'beat',
    formatVersion: MESSAGE_FORMAT_VERSION,
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
    ...(evacuations && { evacuations }),
    ...(cold && { cold }),
    ...(speeds && { speeds }),
    ...(admission && { admission }),
    ...(inputs.results && { results: inputs.results }),
    ...inputs.withdrawal,
  };
}

/**
 * The store versions that the sender of `beat` reports, with times on this process's clock. Returns
 * undefined if `beat` echoes no heartbeat of this process.
 */
export function datedVersionsOf(
  beat: Heartbeat,
  incarnation: string,
): DatedStoreVersions | undefined {
  if (beat.echo?.incarnation !== incarnation) return undefined;
  // The sender took the ages after it had received the echoed heartbeat. Counted from the time at
  // which that heartbeat was sent, they never give a time that is too late.
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
