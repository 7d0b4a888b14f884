import type { MemoryReservation } from '@poppypond/backend';
import { formatOwner, parseOwner } from '@poppypond/core';
import type { Owner } from '@poppypond/core';

/**
 * Response of a host about a reservation: its own present identity, and whether it still uses the
 * memory.
 */
export interface ClaimResponse {
  readonly owner: Owner;
  readonly isClaimed: boolean;
}

/** Why a reservation may be released. */
export type ReleaseReason = 'owner_replaced' | 'owner_disclaims' | 'time_limit_passed';

/**
 * Returns why an expired reservation may be released, or undefined if a live request may still need
 * it. It may be released only if its owner disclaims it, if its host runs another incarnation, or
 * if its time limit has passed. A missing response is no reason for release: the owner may be
 * paused and resume later.
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

/**
 * Whether a reservation has the same owner as in the previous pass and no renewal since, which a
 * release requires.
 */
export function isUnchanged(
  before: MemoryReservation | undefined,
  now: MemoryReservation,
): boolean {
  return before !== undefined && before.owner === now.owner && before.renewals === now.renewals;
}
