import { z } from 'zod';

/** Kinds of messages about budget shares. */
export const SHARE_REQUEST_MESSAGE = 'share-ask';
export const SHARE_GRANT_MESSAGE = 'share-grant';
export const SHARE_RECEIVED_MESSAGE = 'share-taken';

/** A host requests a share of a budget, and reports its own share and demand. */
export const shareRequestSchema = z.object({
  budgetId: z.string(),
  wanted: z.number().positive(),
  share: z.number().nonnegative(),
  demand: z.number().nonnegative(),
});

/** A host transfers a share; sent again until it is confirmed. */
export const shareGrantSchema = z.object({
  id: z.string(),
  budgetId: z.string(),
  giver: z.string(),
  share: z.number().nonnegative(),
  units: z.number().nonnegative(),
});

/** Confirms that a transfer has arrived. */
export const shareReceivedSchema = z.object({ id: z.string() });

/** A transfer of a share from one host to another. */
export type ShareGrant = z.infer<typeof shareGrantSchema>;
