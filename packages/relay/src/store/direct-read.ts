import type { Milliseconds } from '@poppypond/core';

/** Why a host asks the store for what others may read for it. */
export type DirectReadReason = 'reader' | 'start' | 'behind' | 'old_word';

/** What decides whether a host asks the store itself. */
export interface DirectReadInputs {
  /** Whether it is one of the few that read for all. */
  readonly isReader: boolean;
  /** Whether it knows what it would ask for. */
  readonly isKnown: boolean;
  /** Time since it has found the other hosts; undefined before that. */
  readonly joinedForMs: Milliseconds | undefined;
  /** Time since which a peer has known more; 0 where none does. */
  readonly behindForMs: Milliseconds;
  /** Time since what it knows was proved the newest; infinite where it was told but never proved. */
  readonly confirmedAgeMs: Milliseconds;
  /** Older than this, a host does not go by the word of others. */
  readonly maxAgeMs: Milliseconds;
  /** Time since it last asked the store itself; infinite before that. */
  readonly sinceDirectReadMs: Milliseconds;
  /** Its place among those that try the store again; 0 for the first few. */
  readonly turn: number;
}

/** The first answers of peers come within a few milliseconds of the question, on a busy host some 20. */
const FIRST_REPORT_MS: Milliseconds = 80;
/**
 * What a peer has and this host lacks is asked for every 250 ms, and comes with the next heartbeat
 * of the other reader at the latest.
 */
const PEER_UPDATE_TIMEOUT_MS: Milliseconds = 1200;
/**
 * One host more tries each time this has passed: in an outage of the whole store four calls a
 * second are made beside those of the first few, however many hosts there are.
 */
const TURN_MS: Milliseconds = 250;

/**
 * Why a host asks the store itself now; undefined where it leaves that to those that read for all.
 * The calls of a fleet must not grow with its hosts: readers ask for all, others where nobody tells
 * them, and where the store itself is away one after the other.
 */
export function reasonToRead(inputs: DirectReadInputs): DirectReadReason | undefined {
  const { isReader, isKnown, joinedForMs, behindForMs, turn } = inputs;
  const turnMs = turn * TURN_MS;
  if (!isKnown) {
    if (joinedForMs === undefined || joinedForMs < FIRST_REPORT_MS) return undefined;
    if (isReader) return 'reader';
    return joinedForMs >= PEER_UPDATE_TIMEOUT_MS + turnMs && isDue(inputs) ? 'start' : undefined;
  }
  if (isReader) return 'reader';
  if (behindForMs >= PEER_UPDATE_TIMEOUT_MS + turnMs && isDue(inputs)) return 'behind';
  const isExpired = confirmedAgeOf(inputs) >= inputs.maxAgeMs + turnMs;
  return isExpired && (turn === 0 || isDue(inputs)) ? 'old_word' : undefined;
}

/** What was told just now is proved by the next heartbeat; until then it is as old as the start. */
function confirmedAgeOf({ confirmedAgeMs, joinedForMs }: DirectReadInputs): Milliseconds {
  return Number.isFinite(confirmedAgeMs) ? confirmedAgeMs : (joinedForMs ?? confirmedAgeMs);
}

/** Whether the last own read lies so far back that another one may tell more. */
function isDue({ sinceDirectReadMs, maxAgeMs, turn }: DirectReadInputs): boolean {
  return sinceDirectReadMs >= maxAgeMs + turn * TURN_MS;
}
