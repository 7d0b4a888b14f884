import type { PeerAddress } from './peer-list.js';

function byCapacityAndName(left: PeerAddress, right: PeerAddress): number {
  if (left.capacity !== right.capacity) return right.capacity - left.capacity;
  return left.host < right.host ? -1 : 1;
}

/** How many hosts as large as each come before it in its availability zone, by host. */
function zoneRanksOf(sorted: readonly PeerAddress[]): ReadonlyMap<string, number> {
  const seen = new Map<string, number>();
  const zoneRanks = new Map<string, number>();
  for (const { host, availabilityZone, capacity } of sorted) {
    const group = `${availabilityZone} ${String(capacity)}`;
    const place = seen.get(group) ?? 0;
    zoneRanks.set(host, place);
    seen.set(group, place + 1);
  }
  return zoneRanks;
}

/**
 * The order in which hosts take on work for all others; every host that knows the same ones finds
 * the same. Large hosts come first, as this work grows with the fleet and a small link or processor
 * holds up everybody; of equals the availability zones by turns, so that the loss of one zone
 * leaves others near the front.
 */
export function rankPeers(peers: readonly PeerAddress[]): readonly PeerAddress[] {
  const sorted = [...peers].sort(byCapacityAndName);
  const zoneRanks = zoneRanksOf(sorted);
  const zoneRankOf = ({ host }: PeerAddress) => zoneRanks.get(host) ?? 0;
  return sorted.sort((left, right) =>
    left.capacity === right.capacity ? zoneRankOf(left) - zoneRankOf(right) : 0,
  );
}
