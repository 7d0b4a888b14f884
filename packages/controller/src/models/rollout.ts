import type { Result } from 'true-myth';
import type { StoreFault, TableStore } from '@poppypond/state';
import { z } from 'zod';

const rolloutSchema = z.object({
  /** The last wanted version that all designated engines have loaded. */
  good: z.string(),
  /**
   * A version that failed to load; it is not retried until the model object names another version.
   */
  failed: z.string().nullable(),
});

/** Rollout state of a model in a pool, as stored in the table. */
export type Rollout = z.infer<typeof rolloutSchema>;

/** Rollout state with the version of its table row; undefined and version 0 if there is no row. */
export interface StoredRollout {
  readonly rollout: Rollout | undefined;
  readonly rowVersion: number;
}

function rolloutKey(pool: string, model: string): string {
  return `rollout/${pool}/${model}`;
}

/** Reads the rollout state of a model in a pool. */
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

/**
 * Writes rollout state. Returns false if the write failed or another holder changed the row since
 * it was read.
 */
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

/** Returns the version to load: the wanted one, or the last good one if the wanted one failed. */
export function versionToLoad(wanted: string, rollout: Rollout | undefined): string {
  return rollout?.failed === wanted ? rollout.good : wanted;
}
