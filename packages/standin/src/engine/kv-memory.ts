import type { Clock, Milliseconds } from '@poppypond/core';
import { BLOCK_TOKENS } from '@poppypond/hashing';

/** Memory reserved for one attempt of a request. */
export interface Reservation {
  readonly id: string;
  readonly owner: string;
  readonly requestId: string;
  readonly attempt: number;
  readonly tokens: number;
  readonly expiresAtMs: Milliseconds;
  /** When the request's time limit passes. */
  readonly deadlineMs: Milliseconds;
  readonly renewals: number;
  /** Tokens and chain hash of the prefilled part, once it can be exported. */
  readonly exported?: { readonly tokens: number; readonly chain: bigint };
}

/** A change of the prefix cache: blocks by formatted chain hash. */
export interface CacheEvent {
  readonly sequence: number;
  readonly added: readonly string[];
  readonly removed: readonly string[];
}

/** KV cache memory. Reservations come first; cached prefix blocks use what is left. */
export class KvMemory {
  readonly #reservations = new Map<string, Reservation>();
  /** Formatted chain hashes of cached blocks, least recently used first. */
  readonly #cache = new Map<bigint, string>();
  #heldTokens = 0;
  #eventSequence = 0;
  #nextId = 0;

  constructor(
    readonly capacityTokens: number,
    readonly clock: Clock,
    readonly onCacheEvent: (event: CacheEvent) => void,
  ) {}

  get heldTokens(): number {
    return this.#heldTokens;
  }

  get reservations(): readonly Reservation[] {
    return [...this.#reservations.values()];
  }

  get cachedBlocks(): readonly string[] {
    return [...this.#cache.values()];
  }

  get eventSequence(): number {
    return this.#eventSequence;
  }

  find(id: string): Reservation | undefined {
    return this.#reservations.get(id);
  }

  /**
   * Reserves all of `claim.tokens` or nothing. Returns undefined if fewer tokens are free.
   * `claim.deadlineMs` counts from now.
   */
  reserve(
    claim: Pick<Reservation, 'owner' | 'requestId' | 'attempt' | 'tokens' | 'deadlineMs'>,
    ttlMs: Milliseconds,
  ): Reservation | undefined {
    if (this.#heldTokens + claim.tokens > this.capacityTokens) return undefined;
    this.#nextId += 1;
    const now = this.clock.monotonicMs();
    const reservation = {
      id: `kv-${String(this.#nextId)}`,
      owner: claim.owner,
      requestId: claim.requestId,
      attempt: claim.attempt,
      tokens: claim.tokens,
      expiresAtMs: now + ttlMs,
      deadlineMs: now + claim.deadlineMs,
      renewals: 0,
    };
    this.#reservations.set(reservation.id, reservation);
    this.#heldTokens += claim.tokens;
    this.#evict();
    return reservation;
  }

  renew(id: string, owner: string, ttlMs: Milliseconds): boolean {
    const reservation = this.#reservations.get(id);
    if (reservation?.owner !== owner) return false;
    const expiresAtMs = this.clock.monotonicMs() + ttlMs;
    this.#reservations.set(id, { ...reservation, expiresAtMs, renewals: reservation.renewals + 1 });
    return true;
  }

  markExported(id: string, tokens: number, chain: bigint): void {
    const reservation = this.#reservations.get(id);
    if (reservation) this.#reservations.set(id, { ...reservation, exported: { tokens, chain } });
  }

  release(id: string): number {
    const reservation = this.#reservations.get(id);
    if (!reservation) return 0;
    this.#reservations.delete(id);
    this.#heldTokens -= reservation.tokens;
    return reservation.tokens;
  }

  /** Returns the number of leading prompt tokens that are cached; marks their blocks as used. */
  matchPrefix(blocks: readonly bigint[]): number {
    let matched = 0;
    for (const block of blocks) {
      const text = this.#cache.get(block);
      if (text === undefined) break;
      this.#cache.delete(block);
      this.#cache.set(block, text);
      matched += 1;
    }
    return matched * BLOCK_TOKENS;
  }

  /** Caches the blocks of a prompt for later requests, as far as memory is free. */
  cacheBlocks(blocks: readonly bigint[], formatBlock: (block: bigint) => string): void {
    const freeBlocks = Math.floor((this.capacityTokens - this.#heldTokens) / BLOCK_TOKENS);
    const newBlocks = blocks
      .slice(0, Math.max(0, freeBlocks))
      .filter((block) => !this.#cache.has(block));
    for (const block of newBlocks) this.#cache.set(block, formatBlock(block));
    if (newBlocks.length > 0) this.#emit(newBlocks.map(formatBlock), []);
    this.#evict();
  }

  #evict(): void {
    const freeBlocks = Math.max(
      0,
      Math.floor((this.capacityTokens - this.#heldTokens) / BLOCK_TOKENS),
    );
    const removed: string[] = [];
    for (const [block, text] of this.#cache) {
      if (this.#cache.size <= freeBlocks) break;
      this.#cache.delete(block);
      removed.push(text);
    }
    if (removed.length > 0) this.#emit([], removed);
  }

  #emit(added: readonly string[], removed: readonly string[]): void {
    this.#eventSequence += 1;
    this.onCacheEvent({ sequence: this.#eventSequence, added, removed });
  }
}
