/** A host's share of a budget and its demand, both as fractions of the whole limit. */
export interface ShareDemand {
  readonly share: number;
  /** Recent demand on this host divided by the limit; can exceed 1. */
  readonly demand: number;
}

/** Smaller shares are not worth a transfer. */
export const MIN_TRANSFER_SHARE = 0.01;

/**
 * A host aims to hold this multiple of its demand, so that it need not request more again at once.
 */
const HEADROOM_FACTOR = 1.25;

/**
 * Share that a host transfers to a requesting host: what it does not need itself or, if both need
 * more than they hold together, enough to make their shares proportional to their demands. At most
 * `wanted`, and 0 if it is less than `MIN_TRANSFER_SHARE`.
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

/**
 * Additional share of a budget that a host requests, to cover its demand and one request of
 * `units`.
 */
export function shareToRequest(current: ShareDemand, units: number, burstUnits: number): number {
  const target = Math.max(current.demand * HEADROOM_FACTOR, (units * HEADROOM_FACTOR) / burstUnits);
  return Math.max(0, Math.min(1, target) - current.share);
}
