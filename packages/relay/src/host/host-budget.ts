import type { BudgetSize } from './budget-size.js';
import type { LinkUse } from './link-use.js';

/** What held bytes are used for. */
export const BUDGET_USES = ['body', 'answer', 'caller', 'unread', 'peers'] as const;
/**
 * `body`: of callers' requests. `answer`: of servers, not complete yet. `caller`: not yet written
 * to callers. `unread`: estimated to have arrived on connections that are not read. `peers`:
 * incomplete messages of other hosts.
 */
export type BudgetUse = (typeof BUDGET_USES)[number];

/** How much of the budget is taken: below, between or above its watermarks. */
export type BudgetLevel = 'free' | 'first' | 'second';

/** Bytes that one holder has taken from the budget. */
export interface Reservation {
  readonly bytes: number;
  /** Takes more bytes. They are counted even if the budget does not allow them. */
  add(bytes: number): void;
  /** Takes or returns bytes so that `bytes` are held. */
  resize(bytes: number): void;
  /** Returns bytes, at most those that are held. */
  release(bytes: number): void;
  /** Returns all bytes; later calls of `add` have no effect. */
  end(): void;
}

/**
 * The resident size is compared after this many bytes: what is passed on leaves garbage of about
 * the same size, of which V8 keeps up to 64 MB.
 */
const COMPARED_BYTES = 2_000_000;

/** Counts the bytes that a host holds for callers, servers and peers against its memory. */
export class HostBudget {
  readonly #heldBytes = new Map<BudgetUse, number>(BUDGET_USES.map((use) => [use, 0]));
  #totalBytes = 0;
  #residentBytes = 0;
  #level: BudgetLevel = 'free';
  /** Bytes taken since the resident size was last compared. */
  #takenBytes = 0;
  #onTaken: () => void = () => undefined;
  readonly #onLevel = new Set<(level: BudgetLevel) => void>();

  /**
   * `size`: undefined if the memory of the host is not known; the level is then always `free`.
   * `link`: undefined if its bandwidth is not known.
   */
  constructor(
    readonly size: BudgetSize | undefined,
    readonly link?: LinkUse,
  ) {}

  /** Whether bytes are counted. */
  get isEnabled(): boolean {
    return this.size !== undefined;
  }

  /** Bytes that are held: counted, or resident in the process beyond what it needs itself. */
  get usedBytes(): number {
    return Math.max(this.#totalBytes, this.#aboveProcessBytes);
  }

  /** Resident bytes beyond what the process needs itself; negative if it needs less. */
  get #aboveProcessBytes(): number {
    return this.#residentBytes - (this.size?.processBytes ?? 0);
  }

  /** Resident set size of the process when it was last compared. */
  get residentBytes(): number {
    return this.#residentBytes;
  }

  get level(): BudgetLevel {
    return this.#level;
  }

  /** Whether `bytes` more of a new request can be held. */
  fitsRequest(bytes: number): boolean {
    return !this.size || this.usedBytes + bytes <= this.size.limitBytes;
  }

  /**
   * Whether more can arrive on connections of a crowd: what is unread comes on top of the resident
   * size, which other limits leave room for.
   */
  get fitsUnread(): boolean {
    const { size } = this;
    return !size || this.#aboveProcessBytes + this.held('unread') <= size.limitBytes;
  }

  /**
   * Whether `bytes` more of an answer can be held. The resident size does not count: part of it is
   * garbage, and an answer that is lost for it was computed in vain.
   */
  fitsAnswer(bytes: number): boolean {
    return !this.size || this.#totalBytes + bytes <= this.size.limitBytes;
  }

  /** Bytes that are held for `use`. */
  held(use: BudgetUse): number {
    return this.#heldBytes.get(use) ?? 0;
  }

  /** `callback` is called when the level changes, until the returned function is called. */
  onLevel(callback: (level: BudgetLevel) => void): () => void {
    this.#onLevel.add(callback);
    return () => {
      this.#onLevel.delete(callback);
    };
  }

  /** `callback` is called when much was taken since the resident size was last compared. */
  onTaken(callback: () => void): void {
    this.#onTaken = callback;
  }

  /** Records the resident set size of the process. */
  onResident(bytes: number): void {
    this.#takenBytes = 0;
    this.#residentBytes = bytes;
    this.#update();
  }

  /** Whether the level is above `free` and the process holds more than the bytes counted. */
  get isFullByResident(): boolean {
    return this.#level !== 'free' && this.usedBytes > this.#totalBytes;
  }

  /** Starts a reservation of no bytes. */
  reserve(use: BudgetUse): Reservation {
    let bytes = 0;
    let isEnded = false;
    const change = (by: number) => {
      bytes += by;
      this.#take(use, by);
    };
    return {
      get bytes() {
        return bytes;
      },
      add: (more) => {
        if (!isEnded) change(more);
      },
      resize: (wanted) => {
        if (!isEnded) change(wanted - bytes);
      },
      release: (less) => {
        change(-Math.min(bytes, less));
      },
      end: () => {
        isEnded = true;
        change(-bytes);
      },
    };
  }

  #take(use: BudgetUse, bytes: number): void {
    if (bytes === 0) return;
    this.#heldBytes.set(use, this.held(use) + bytes);
    this.#totalBytes += bytes;
    this.#update();
    this.#takenBytes += Math.max(0, bytes);
    if (!this.size || this.#takenBytes < COMPARED_BYTES) return;
    this.#takenBytes = 0;
    this.#onTaken();
  }

  #update(): void {
    const level = this.#levelNow();
    if (level === this.#level) return;
    this.#level = level;
    // A callback may take or return bytes, and with that change the level again.
    for (const callback of [...this.#onLevel]) callback(this.#level);
  }

  #levelNow(): BudgetLevel {
    if (!this.size || this.usedBytes <= this.size.firstWatermarkBytes) return 'free';
    return this.usedBytes <= this.size.secondWatermarkBytes ? 'first' : 'second';
  }
}
