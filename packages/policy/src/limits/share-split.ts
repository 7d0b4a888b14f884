/** A host's share of a budget and what it needs, both as parts of the whole limit. */
export interface ShareDemand {
  readonly share: number;
  /** Recent demand on this host divided by the limit; may be over 1. */
  readonly demand: number;
}

/** Least part that is worth a transfer. */
export const MIN_TRANSFER_SHARE = 0.01;

/** A host keeps a little more than its demand, so that it needn't ask at once again. */
const HEADROOM_FACTOR = 1.25;

/**
 * How much of its share a host gives to one that asks: what it doesn't need itself, or, where
 * both need more than there is, as much as makes their shares proportional to their demands.
 */
export function shareToTransfer(
  giver: ShareDemand,
  requester: ShareDemand,
  wanted: number,
): number {
  const spareShare = giver.share - giver.demand * HEADROOM_FACTOR;
  const totalDemand = giver.demand + requester.demand;
  const fairTransfer =
    totalDemand > 0
      ? giver.share - ((giver.share + requester.share) * giver.demand) / totalDemand
      : giver.share;
  const transferred = Math.min(giver.share, wanted, Math.max(spareShare, fairTransfer));
  return transferred < MIN_TRANSFER_SHARE ? 0 : transferred;
}

/** How much more of a budget a host wants, for its demand and for one request's units. */
export function shareToRequest(current: ShareDemand, units: number, burstUnits: number): number {
  const target = Math.max(current.demand * HEADROOM_FACTOR, (units * HEADROOM_FACTOR) / burstUnits);
  return Math.max(0, Math.min(1, target) - current.share);
}
