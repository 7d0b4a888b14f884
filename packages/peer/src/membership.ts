import type { Clock, Milliseconds } from '@poppypond/core';
import type { Member, MemberGossip } from './messages.js';

const MAX_REMOVED_INCARNATIONS = 10_000;

/** `suspect`: silent for longer than `suspectAfterMs`, but not removed yet. */
export type MemberState = 'alive' | 'suspect';

/** A member and its state as seen by this host. */
export interface KnownMember {
  readonly member: Member;
  readonly state: MemberState;
  /** Time since the last message from the member or the last newer heartbeat reported by others. */
  readonly silentMs: Milliseconds;
}

interface Entry {
  readonly member: Member;
  readonly beat: number;
  readonly lastHeardAtMs: Milliseconds;
}

/** Timeouts of the failure detection. */
export interface MembershipTimes {
  readonly suspectAfterMs: Milliseconds;
  readonly removeAfterMs: Milliseconds;
}

/** The hosts that this host knows of. Only a hint: no safety property depends on it. */
export class Membership {
  readonly #entries = new Map<string, Entry>();
  /** The last heartbeat number of each removed incarnation. */
  readonly #lastBeatOfRemoved = new Map<string, number>();
  /** Index of the entry that comes next in the gossip, by receiver. */
  readonly #nextGossipIndex = new Map<string, number>();

  constructor(
    readonly self: Member,
    readonly times: MembershipTimes,
    readonly clock: Clock,
  ) {}

  /** Records that a message from the member itself has arrived. */
  recordContact(member: Member, beat: number): void {
    const known = this.#entries.get(member.host);
    const isSameIncarnation = known?.member.incarnation === member.incarnation;
    const newestBeat = isSameIncarnation ? Math.max(known.beat, beat) : beat;
    this.#update(member, newestBeat);
  }

  /**
   * Records an entry that another host has forwarded. Only a newer heartbeat counts, so that hosts
   * do not keep a dead host alive by forwarding it to each other. Another incarnation counts once
   * the known one is suspect.
   */
  recordGossip({ member, beat }: MemberGossip): void {
    const known = this.#entries.get(member.host);
    if (!known) return this.#update(member, beat);
    const isSameIncarnation = known.member.incarnation === member.incarnation;
    if (isSameIncarnation && beat > known.beat) return this.#update(member, beat);
    const silentMs = this.clock.monotonicMs() - known.lastHeardAtMs;
    if (!isSameIncarnation && silentMs > this.times.suspectAfterMs) this.#update(member, beat);
  }

  #update(member: Member, beat: number): void {
    if (member.host === this.self.host || this.#isStale(member, beat)) return;
    this.#entries.set(member.host, { member, beat, lastHeardAtMs: this.clock.monotonicMs() });
  }

  /**
   * A removed incarnation is added again only with a newer heartbeat than the one it was removed
   * with.
   */
  #isStale(member: Member, beat: number): boolean {
    return beat <= (this.#lastBeatOfRemoved.get(member.incarnation) ?? -1);
  }

  /**
   * Returns gossip about the next `count` members for one receiver, in rotation. Each receiver has
   * its own position: with a common one, 11 members and 11 links, each receiver would always get
   * the same four members.
   */
  nextGossip(receiver: string, count: number): readonly MemberGossip[] {
    const all = [...this.#entries.values()];
    const firstIndex = this.#nextGossipIndex.get(receiver) ?? 0;
    const news = Array.from({ length: Math.min(count, all.length) }, (_, index) => {
      const entry = all[(firstIndex + index) % all.length];
      return entry ? [{ member: entry.member, beat: entry.beat }] : [];
    });
    this.#nextGossipIndex.set(receiver, (firstIndex + count) % Math.max(1, all.length));
    return news.flat();
  }

  /** Returns gossip about all members. */
  allGossip(): readonly MemberGossip[] {
    return [...this.#entries.values()].map(({ member, beat }) => ({ member, beat }));
  }

  /** Returns the known members, after removing those that have been silent for too long. */
  list(): readonly KnownMember[] {
    const now = this.clock.monotonicMs();
    const known: KnownMember[] = [];
    for (const [host, { member, lastHeardAtMs }] of this.#entries) {
      const silentMs = now - lastHeardAtMs;
      if (silentMs > this.times.removeAfterMs) this.#remove(host);
      else {
        const state = silentMs > this.times.suspectAfterMs ? 'suspect' : 'alive';
        known.push({ member, state, silentMs });
      }
    }
    return known;
  }

  #remove(host: string): void {
    const entry = this.#entries.get(host);
    if (!entry) return;
    this.#entries.delete(host);
    this.#nextGossipIndex.delete(host);
    if (this.#lastBeatOfRemoved.size > MAX_REMOVED_INCARNATIONS) this.#lastBeatOfRemoved.clear();
    this.#lastBeatOfRemoved.set(entry.member.incarnation, entry.beat);
  }

  find(host: string): Member | undefined {
    return this.#entries.get(host)?.member;
  }
}
