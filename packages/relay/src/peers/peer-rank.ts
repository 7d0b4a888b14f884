import type { PeerAddress } from './peer-list.js';

function byCapacityAndName(left: PeerAddress, right: PeerAddress): number {
  if (left.capacity !== right.capacity) return right.capacity - left.capacity;
  return left.host < right.host ? -1 : 1;
}

/**
 * For each host, the number of hosts of the same availability zone and capacity that sort before
 * it.
 */
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
 * Ranks hosts for the work that they do on behalf of all; every host that knows the same hosts
 * computes the same order. Hosts with more capacity come first, as this work grows with the fleet
 * and a slow network link or CPU delays every host. Hosts of equal capacity alternate between
 * availability zones, so that hosts near the front remain after the loss of one zone.
 */
export function rankPeers(peers: readonly PeerAddress[]): readonly PeerAddress[] {
  const sorted = [...peers].sort(byCapacityAndName);
  const zoneRanks = zoneRanksOf(sorted);
  const zoneRankOf = ({ host }: PeerAddress) => zoneRanks.get(host) ?? 0;
  return sorted.sort((left, right) =>
    left.capacity === right.capacity ? zoneRankOf(left) - zoneRankOf(right) : 0,
  );
}
