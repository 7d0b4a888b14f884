import type { Milliseconds } from '@poppypond/core';

/** A request that waits in this host's queue. */
export interface WaitingEntry<Item> {
  readonly item: Item;
  readonly priority: number;
  readonly workspace: string;
  /** Weight of the workspace relative to other workspaces. */
  readonly weight: number;
  /** Rule of the request; `maxQueuedTokens` bounds the queued tokens of all its entries. */
  readonly rule: string;
  readonly maxQueuedTokens: number;
  readonly tokens: number;
  /** If an entry of a group cannot be placed, no later entry of the group can. */
  readonly group: string;
  /** Monotonic time at which the wait times out. */
  readonly expiresAtMs: Milliseconds;
}

interface QueuedEntry<Item> extends WaitingEntry<Item> {
  /** Start tag of start-time fair queueing, in tokens divided by weight. */
  readonly startTag: number;
  readonly arrival: number;
}

/** Whether an entry was queued, and which others were displaced to make room for it. */
export type EnqueueResult<Item> =
  { readonly isQueued: true; readonly displaced: readonly Item[] } | { readonly isQueued: false };

function compareEntries<Item>(a: QueuedEntry<Item>, b: QueuedEntry<Item>): number {
  return b.priority - a.priority || a.startTag - b.startTag || a.arrival - b.arrival;
}

/**
 * Queue of the requests that wait at this host. Higher priority comes first; within a priority, the
 * workspaces share the tokens by weight (start-time fair queueing, Goyal et al., 1996). The queued
 * tokens of each rule are bounded; at the bound, higher priority displaces lower.
 */
export class WaitQueue<Item> {
  #entries: QueuedEntry<Item>[] = [];
  readonly #finishTags = new Map<string, number>();
  readonly #tokensByRule = new Map<string, number>();
  #virtualTime = 0;
  #arrivals = 0;
  #tokens = 0;

  get length(): number {
    return this.#entries.length;
  }

  get tokens(): number {
    return this.#tokens;
  }

  /** Queued tokens of a group at this priority or above. */
  tokensAtOrAbove(priority: number, group: string): number {
    let tokens = 0;
    for (const entry of this.#entries) {
      if (entry.priority < priority) break;
      if (entry.group === group) tokens += entry.tokens;
    }
    return tokens;
  }

  enqueue(entry: WaitingEntry<Item>): EnqueueResult<Item> {
    const victims = this.#selectVictims(entry);
    if (!victims) return { isQueued: false };
    for (const victim of victims) this.#removeEntry(victim);
    const tagKey = `${String(entry.priority)}/${entry.workspace}`;
    const startTag = Math.max(this.#virtualTime, this.#finishTags.get(tagKey) ?? 0);
    this.#finishTags.set(tagKey, startTag + entry.tokens / entry.weight);
    this.#arrivals += 1;
    this.#insert({ ...entry, startTag, arrival: this.#arrivals });
    return { isQueued: true, displaced: victims.map((victim) => victim.item) };
  }

  /**
   * Entries of lower priority that must be displaced for `entry`; undefined if that is not enough.
   */
  #selectVictims(entry: WaitingEntry<Item>): readonly QueuedEntry<Item>[] | undefined {
    let excessTokens =
      (this.#tokensByRule.get(entry.rule) ?? 0) + entry.tokens - entry.maxQueuedTokens;
    const victims: QueuedEntry<Item>[] = [];
    for (let index = this.#entries.length - 1; index >= 0 && excessTokens > 0; index -= 1) {
      const candidate = this.#entries[index];
      if (!candidate || candidate.priority >= entry.priority) break;
      if (candidate.rule !== entry.rule) continue;
      victims.push(candidate);
      excessTokens -= candidate.tokens;
    }
    return excessTokens > 0 ? undefined : victims;
  }

  #insert(entry: QueuedEntry<Item>): void {
    let low = 0;
    let high = this.#entries.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.#entries[middle];
      if (other && compareEntries(other, entry) <= 0) low = middle + 1;
      else high = middle;
    }
    this.#entries.splice(low, 0, entry);
    this.#addToTotals(entry, entry.tokens);
  }

  #addToTotals(entry: QueuedEntry<Item>, tokens: number): void {
    this.#tokens += tokens;
    this.#tokensByRule.set(entry.rule, (this.#tokensByRule.get(entry.rule) ?? 0) + tokens);
  }

  #removeEntry(entry: QueuedEntry<Item>): void {
    const index = this.#entries.indexOf(entry);
    if (index < 0) return;
    this.#entries.splice(index, 1);
    this.#addToTotals(entry, -entry.tokens);
  }

  /** Removes an item, e.g. because its caller disconnected. Returns false if it is not queued. */
  remove(item: Item): boolean {
    const entry = this.#entries.find((candidate) => candidate.item === item);
    if (entry) this.#removeEntry(entry);
    return entry !== undefined;
  }

  /** Removes and returns all items whose wait has timed out. */
  takeExpired(nowMs: Milliseconds): readonly Item[] {
    const expired = this.#entries.filter((entry) => entry.expiresAtMs <= nowMs);
    for (const entry of expired) this.#removeEntry(entry);
    return expired.map((entry) => entry.item);
  }

  /** Monotonic time at which the next entry expires; undefined if the queue is empty. */
  nextExpiryMs(): Milliseconds | undefined {
    let next: Milliseconds | undefined;
    for (const { expiresAtMs } of this.#entries) {
      if (next === undefined || expiresAtMs < next) next = expiresAtMs;
    }
    return next;
  }

  /**
   * Tries to start all entries in queue order and removes those that start. `tryStart` returns
   * whether the item was started; after a failure, the rest of the item's group is skipped. Other
   * groups go on, so that a long request that must wait never blocks a short one.
   */
  startInOrder(tryStart: (item: Item) => boolean): void {
    const blockedGroups = new Set<string>();
    for (const entry of [...this.#entries]) {
      if (blockedGroups.has(entry.group)) continue;
      if (!tryStart(entry.item)) {
        blockedGroups.add(entry.group);
        continue;
      }
      this.#virtualTime = Math.max(this.#virtualTime, entry.startTag);
      this.#removeEntry(entry);
    }
    if (this.#entries.length === 0) this.#finishTags.clear();
  }
}
