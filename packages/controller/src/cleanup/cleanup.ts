import { isExpiredEntry, LEDGER_PREFIX } from '@poppypond/state';
import type { ControllerContext } from '../context.js';

const DECISIONS_PREFIX = 'decisions/';
const TIME_DIGITS = 14;
/**
 * Decision records that one run deletes at most, so that cleanup does not use up the store's write
 * budget.
 */
const MAX_DELETES_PER_RUN = 200;

/**
 * Deletes ledger rows and decision records after their retention times. Each run scans one page of
 * the ledger.
 */
export class Cleanup {
  #after = '';

  constructor(readonly context: ControllerContext) {}

  async run(): Promise<void> {
    await this.#cleanLedger();
    await this.#cleanDecisions();
  }

  async #cleanLedger(): Promise<void> {
    const { table, clock, settings } = this.context;
    const rows = await table.scan(LEDGER_PREFIX, this.#after);
    if (rows.isErr) return;
    this.#after = rows.value.at(-1)?.key ?? '';
    const now = clock.wallMs();
    const expired = rows.value.filter((row) =>
      isExpiredEntry(row.value, now, settings.ledgerRetentionMs),
    );
    if (expired.length === 0) return;
    const checks = expired.map(({ key, version }) => ({ key, version }));
    await table.transact({ checks, deletes: expired.map((row) => row.key) });
    this.context.log.info('ledger_cleaned', { rows: expired.length });
  }

  async #cleanDecisions(): Promise<void> {
    const { objects, clock, settings } = this.context;
    const names = await objects.list(DECISIONS_PREFIX);
    if (names.isErr) return;
    const cutoffMs = clock.wallMs() - settings.decisionRetentionMs;
    const expired = names.value.filter((name) => Number(name.slice(-TIME_DIGITS)) < cutoffMs);
    for (const name of expired.slice(0, MAX_DELETES_PER_RUN)) await objects.remove(name);
  }
}
