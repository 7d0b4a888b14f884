/** A host's share of a budget and what it needs, both as parts of the whole limit. */
export interface ShareDemand {
  readonly share: number;
  /** Recent demand on this host divided by the limit; may be over 1. */
  readonly demand: number;
}

/** Least part that is worth a transfer. */
export const MIN_TRANSFER_SHARE = 0.01;

/** A host keeps a little more than its demand, so that it needn't ask at once again. */
const HEADROOM = 1.25;

/**
 * How much of its share a host gives to one that asks: what it doesn't need itself, or, where
 * both need more than there is, as much as makes their shares proportional to their demands.
 */
export function shareToTransfer(giver: ShareDemand, asker: ShareDemand, wanted: number): number {
  const spare = giver.share - giver.demand * HEADROOM;
  const totalDemand = giver.demand + asker.demand;
  const fair =
    totalDemand > 0
      ? giver.share - ((giver.share + asker.share) * giver.demand) / totalDemand
      : giver.share;
  const given = Math.min(giver.share, wanted, Math.max(spare, fair));
  return given < MIN_TRANSFER_SHARE ? 0 : given;
}

/** How much more of a budget a host wants, for its demand and for one request's units. */
export function shareToRequest(need: ShareDemand, units: number, burstUnits: number): number {
  const target = Math.max(need.demand * HEADROOM, (units * HEADROOM) / burstUnits);
  return Math.max(0, Math.min(1, target) - need.share);
}
