import { delay } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import { selfAddress } from '../compose.js';
import type { RelayBase } from '../compose.js';
import { ExponentialBackoff } from '../store/exponential-backoff.js';
import type { MemberDirectory } from './member-directory.js';
import type { PeerAddress } from './peer-list.js';

/**
 * Backoff between attempts to join, short at first: until it has joined, a host plans on its own.
 */
const INITIAL_BACKOFF_MS: Milliseconds = 100;
const MAX_BACKOFF_MS: Milliseconds = 1200;

/**
 * Adds this host to the directory, with as many attempts as it takes. Returns the members, or
 * undefined once the host stops.
 */
export async function joinMembers(
  { clock, settings, unexpectedErrors }: RelayBase,
  directory: MemberDirectory,
  isStopping: () => boolean,
): Promise<readonly PeerAddress[] | undefined> {
  const self = selfAddress(settings);
  const backoff = new ExponentialBackoff(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS);
  while (!isStopping()) {
    try {
      const members = await directory.join(self, settings.isFirstStart);
      if (members) return members;
    } catch (error) {
      unexpectedErrors.report('join', error);
    }
    await delay(clock, backoff.next());
  }
  return undefined;
}
