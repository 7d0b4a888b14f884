import type { Milliseconds } from '@poppypond/core';

/** Why a host reads from the store itself instead of learning from peers. */
export type DirectReadReason = 'reader' | 'start' | 'behind' | 'old_word';

/** Inputs of the decision whether a host reads the store itself. */
export interface DirectReadInputs {
  /** Whether it is one of the few store readers. */
  readonly isReader: boolean;
  /** Whether it has the data that it would read. */
  readonly isKnown: boolean;
  /** Time since it learned of the other hosts; undefined before that. */
  readonly joinedForMs: Milliseconds | undefined;
  /** Time for which a peer has had newer data; 0 if none has. */
  readonly behindForMs: Milliseconds;
  /**
   * Time since its data was last confirmed as the newest; infinite if it was received from a peer
   * but never confirmed.
   */
  readonly confirmedAgeMs: Milliseconds;
  /** Age of the confirmation from which a host no longer relies on its peers. */
  readonly maxAgeMs: Milliseconds;
  /** Time since its last direct read; infinite before the first. */
  readonly sinceDirectReadMs: Milliseconds;
  /** Whether it is one of the first in rank of all known hosts, alive or not. */
  readonly isRankedFirst: boolean;
  /** Its rank among the hosts that retry the store; 0 for the first few. */
  readonly turn: number;
}

/**
 * The first answers of peers arrive within a few milliseconds of the request, on a busy host within
 * some 20. A longer wait delays all hosts when all start together.
 */
const FIRST_REPORT_MS: Milliseconds = 30;
/**
 * Wait of the hosts that are not among the first in rank. When all hosts start together, the first
 * in rank may not be up yet and so not answer; without this wait, every host would read the store.
 */
const LATER_REPORT_MS: Milliseconds = 400;
/**
 * Data that a peer has and this host lacks is requested every 250 ms, and arrives with the next
 * heartbeat of the other store reader at the latest.
 */
const PEER_UPDATE_TIMEOUT_MS: Milliseconds = 1200;
/**
 * A host without data can serve nothing, so it retries earlier than a host whose data is old. With
 * the turns of 250 ms, 330 hosts together retry at most 25 times a second.
 */
const START_RETRY_MS: Milliseconds = 500;
/**
 * One more host retries each time this has passed: in an outage of the whole store, four calls per
 * second are made beside those of the first few hosts, regardless of the number of hosts.
 */
const TURN_MS: Milliseconds = 250;

/**
 * Returns why a host reads the store itself now; undefined if it leaves that to the store readers.
 * The number of calls must not grow with the number of hosts: store readers read for all, other
 * hosts read if no peer informs them, and during a store outage one host after another retries.
 */
export function reasonToRead(inputs: DirectReadInputs): DirectReadReason | undefined {
  const { isReader, isKnown, joinedForMs, behindForMs, turn } = inputs;
  const turnMs = turn * TURN_MS;
  if (!isKnown) {
    const firstReportMs = inputs.isRankedFirst ? FIRST_REPORT_MS : LATER_REPORT_MS;
    if (joinedForMs === undefined || joinedForMs < firstReportMs) return undefined;
    if (isReader) return 'reader';
    const isDueAtStart = inputs.sinceDirectReadMs >= START_RETRY_MS + turnMs;
    return joinedForMs >= PEER_UPDATE_TIMEOUT_MS + turnMs && isDueAtStart ? 'start' : undefined;
  }
  if (isReader) return 'reader';
  if (behindForMs >= PEER_UPDATE_TIMEOUT_MS + turnMs && isDue(inputs)) return 'behind';
  const isTooOld = confirmedAgeOf(inputs) >= inputs.maxAgeMs + turnMs;
  return isTooOld && (turn === 0 || isDue(inputs)) ? 'old_word' : undefined;
}

/**
 * Data that was just received is confirmed by the next heartbeat; until then its age counts from
 * the host's joining.
 */
function confirmedAgeOf({ confirmedAgeMs, joinedForMs }: DirectReadInputs): Milliseconds {
  return Number.isFinite(confirmedAgeMs) ? confirmedAgeMs : (joinedForMs ?? confirmedAgeMs);
}

/** Whether the last direct read is old enough for another one to yield something new. */
function isDue({ sinceDirectReadMs, maxAgeMs, turn }: DirectReadInputs): boolean {
  return sinceDirectReadMs >= maxAgeMs + turn * TURN_MS;
}
