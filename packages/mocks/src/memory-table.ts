import type {
  StoreFault,
  TableRow,
  TableStore,
  TableTransaction,
  TransactionResult,
} from '@poppypond/state';
import { Result } from 'true-myth';

/**
 * Outcome of a call. `down`: it fails without effect. `lost`: it takes effect and its response is
 * lost. `hang-then-lost`: its response is lost at once and it takes effect later. A read fails with
 * every outcome except `ok`.
 */
export type CallOutcome = 'ok' | 'down' | 'lost' | 'hang-then-lost';

/** Decides the outcome of each call; `isWrite` distinguishes writes from reads. */
export type PickOutcome = (isWrite: boolean) => CallOutcome;

/** Awaited before and after a call takes effect, so that a test can order concurrent calls. */
export type YieldPoint = (label: string) => Promise<void>;

const UNAVAILABLE: StoreFault = { reason: 'unavailable', detail: 'down' };
const UNCONFIRMED: StoreFault = { reason: 'unconfirmed', detail: 'answer lost' };

/** Rows that several clients share. */
export class MemoryRows {
  readonly rows = new Map<string, TableRow>();
  #version = 0;

  apply(transaction: TableTransaction): TransactionResult {
    const failed = (transaction.checks ?? []).filter(
      ({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version,
    );
    if (failed.length > 0) return { kind: 'conflict', keys: failed.map(({ key }) => key) };
    this.#version += 1;
    for (const { key, value } of transaction.puts ?? []) {
      this.rows.set(key, { key, version: this.#version, value });
    }
    for (const key of transaction.deletes ?? []) this.rows.delete(key);
    return { kind: 'applied', version: this.#version };
  }
}

/** Rows without version checks: a deliberate fault that every checker has to find. */
export class UncheckedRows extends MemoryRows {
  override apply(transaction: TableTransaction): TransactionResult {
    return super.apply({ ...transaction, checks: [] });
  }
}

/** One client's view of an in-memory table, with faults. */
export class MemoryTable implements TableStore {
  constructor(
    readonly shared: MemoryRows,
    public pickOutcome: PickOutcome = () => 'ok',
    readonly yieldAt: YieldPoint = () => Promise.resolve(),
  ) {}

  async get(key: string): Promise<Result<TableRow | undefined, StoreFault>> {
    const outcome = this.pickOutcome(false);
    await this.yieldAt(`get ${key}`);
    if (outcome !== 'ok') return Result.err(UNAVAILABLE);
    const row = this.shared.rows.get(key);
    await this.yieldAt(`got ${key}`);
    return Result.ok(row);
  }

  async scan(prefix: string, after = ''): Promise<Result<readonly TableRow[], StoreFault>> {
    const outcome = this.pickOutcome(false);
    await this.yieldAt(`scan ${prefix}`);
    if (outcome !== 'ok') return Result.err(UNAVAILABLE);
    const rows = [...this.shared.rows.values()]
      .filter((row) => row.key.startsWith(prefix) && row.key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return Result.ok(rows);
  }

  async transact(transaction: TableTransaction): Promise<Result<TransactionResult, StoreFault>> {
    const outcome = this.pickOutcome(true);
    if (outcome === 'down') return Result.err(UNAVAILABLE);
    if (outcome === 'hang-then-lost') {
      void this.yieldAt('late write').then(() => this.shared.apply(transaction));
      return Result.err(UNCONFIRMED);
    }
    await this.yieldAt('write');
    const result = this.shared.apply(transaction);
    await this.yieldAt('written');
    return outcome === 'lost' ? Result.err(UNCONFIRMED) : Result.ok(result);
  }
}
