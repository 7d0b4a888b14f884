import type { MemoryReservation } from '@poppypond/backend';
import { formatOwner, parseOwner } from '@poppypond/core';
import type { Owner } from '@poppypond/core';

/** What a host said of a reservation: who it is now, and whether it still uses it. */
export interface ClaimResponse {
  readonly owner: Owner;
  readonly isClaimed: boolean;
}

/** Why a reservation may be released; undefined where its request may still need it. */
export type ReleaseReason = 'owner_replaced' | 'owner_disclaims' | 'time_limit_passed';

/**
 * A reservation that nobody renews is released only when it is certain that no live request
 * needs it: its owner says so, its host runs another incarnation, or its time limit has passed.
 * Silence proves nothing: the owner may be paused and wake up.
 */
export function findReleaseReason(
  held: MemoryReservation,
  answer: ClaimResponse | undefined,
): ReleaseReason | undefined {
  if (held.isRunning || held.ttlMs > 0) return undefined;
  if (held.timeRemainingMs <= 0) return 'time_limit_passed';
  const owner = parseOwner(held.owner);
  if (!owner || answer?.owner.host !== owner.host) return undefined;
  if (formatOwner(answer.owner) !== held.owner) return 'owner_replaced';
  return answer.isClaimed ? undefined : 'owner_disclaims';
}

/** Whether a reservation is as it was at the look before: the second look that a release needs. */
export function isUnchanged(
  before: MemoryReservation | undefined,
  now: MemoryReservation,
): boolean {
  return before !== undefined && before.owner === now.owner && before.renewals === now.renewals;
}
