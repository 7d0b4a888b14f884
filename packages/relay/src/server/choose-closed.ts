import type { Milliseconds } from '@poppypond/core';
import { ORDINARY_COST_BYTES } from './caller-costs.js';
import type { Watched } from './watched-connection.js';

/** A connection may be closed for another if nothing has come on it for this long. */
const MIN_QUIET_MS: Milliseconds = 1000;

function isQuietAt(nowMs: Milliseconds): (watched: Watched) => boolean {
  return ({ progressAtMs }) => nowMs - progressAtMs >= MIN_QUIET_MS;
}

/** Returns the first connection that fulfils a condition. */
function findFirst(
  connections: ReadonlySet<Watched>,
  condition: (watched: Watched) => boolean,
): Watched | undefined {
  for (const watched of connections) if (condition(watched)) return watched;
  return undefined;
}

/**
 * Returns the connection that has been without progress for longest, of those that have sent no
 * request, rest, or whose request is not complete; undefined if all but `added` wait for responses.
 */
export function findOldest(
  unused: ReadonlySet<Watched>,
  used: ReadonlySet<Watched>,
  added: Watched,
  nowMs: Milliseconds,
): Watched | undefined {
  const isQuiet = isQuietAt(nowMs);
  const isReceiving = ({ connection }: Watched) => connection.isReceiving;
  return (
    findFirst(unused, isQuiet) ??
    findFirst(used, (watched) => isQuiet(watched) && isReceiving(watched)) ??
    findFirst(unused, (watched) => watched !== added) ??
    findFirst(used, ({ connection }) => connection.isIdle) ??
    findFirst(used, isReceiving)
  );
}

/** Returns the connections but those with one ordinary request that gets on, the costliest first. */
export function findCostly(all: readonly Watched[], nowMs: Milliseconds): readonly Watched[] {
  const isQuiet = isQuietAt(nowMs);
  return all
    .filter((watched) => {
      const { hasOpenHead, isReceiving } = watched.connection;
      if (hasOpenHead || (isReceiving && isQuiet(watched))) return true;
      return watched.costBytes > ORDINARY_COST_BYTES;
    })
    .sort((one, other) => other.costBytes - one.costBytes);
}
