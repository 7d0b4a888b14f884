import type { Result } from 'true-myth';
import type { StoreFault, TableStore } from '@poppypond/state';
import { z } from 'zod';

const rolloutSchema = z.object({
  /** The last version that was wanted and held by every holder. */
  good: z.string(),
  /** A version that failed to load; it is not tried again until the model object changes. */
  failed: z.string().nullable(),
});

/** What is known of a model's versions in a pool; kept in the table. */
export type Rollout = z.infer<typeof rolloutSchema>;

/** A rollout with the version of its row. */
export interface StoredRollout {
  readonly rollout: Rollout | undefined;
  readonly rowVersion: number;
}

function rolloutKey(pool: string, model: string): string {
  return `rollout/${pool}/${model}`;
}

/** Reads a rollout. */
export async function readRollout(
  table: TableStore,
  pool: string,
  model: string,
): Promise<Result<StoredRollout, StoreFault>> {
  const row = await table.get(rolloutKey(pool, model));
  return row.map((found) => ({
    rollout: found ? rolloutSchema.parse(found.value) : undefined,
    rowVersion: found?.version ?? 0,
  }));
}

/** Writes a rollout; a conflict means that another holder has written since. */
export async function writeRollout(
  table: TableStore,
  pool: string,
  model: string,
  rollout: Rollout,
  rowVersion: number,
): Promise<boolean> {
  const key = rolloutKey(pool, model);
  const sent = await table.transact({
    checks: [{ key, version: rowVersion }],
    puts: [{ key, value: rollout }],
  });
  return sent.isOk && sent.value.kind === 'applied';
}

/** The version to load: the wanted one, or the last good one where the wanted one failed. */
export function versionToLoad(wanted: string, rollout: Rollout | undefined): string {
  return rollout?.failed === wanted ? rollout.good : wanted;
}
