import type { Clock, Milliseconds } from '@poppypond/core';
import type { Member, MemberGossip } from './messages.js';

const MAX_REMOVED_INCARNATIONS = 10_000;

/** `suspect`: not heard of for a while, not removed yet. */
export type MemberState = 'alive' | 'suspect';

/** A member and what is believed of it. */
export interface KnownMember {
  readonly member: Member;
  readonly state: MemberState;
  /** Since it was last heard of, by itself or through others. */
  readonly silentMs: Milliseconds;
}

interface Entry {
  readonly member: Member;
  readonly beat: number;
  readonly heardAtMs: Milliseconds;
}

/** Times that decide about members. */
export interface MembershipTimes {
  readonly suspectAfterMs: Milliseconds;
  readonly removeAfterMs: Milliseconds;
}

/** The hosts that this host has heard of. A hint: no safety rests on it. */
export class Membership {
  readonly #entries = new Map<string, Entry>();
  /** Incarnation of a removed run to its last heartbeat. */
  readonly #lastBeatOfRemoved = new Map<string, number>();
  /** Which entry comes next in the news for each receiver. */
  readonly #nextGossipIndex = new Map<string, number>();

  constructor(
    readonly self: Member,
    readonly times: MembershipTimes,
    readonly clock: Clock,
  ) {}

  /** Notes that a member itself was heard. */
  recordContact(member: Member, beat: number): void {
    const known = this.#entries.get(member.host);
    const isSameIncarnation = known?.member.incarnation === member.incarnation;
    const newestBeat = isSameIncarnation ? Math.max(known.beat, beat) : beat;
    this.#update(member, newestBeat);
  }

  /**
   * Notes what another host passes on. Only a newer heartbeat counts, so that hosts don't keep
   * each other believing in one that is gone; another run counts once the known one is silent.
   */
  recordGossip({ member, beat }: MemberGossip): void {
    const known = this.#entries.get(member.host);
    if (!known) return this.#update(member, beat);
    const isSameIncarnation = known.member.incarnation === member.incarnation;
    if (isSameIncarnation && beat > known.beat) return this.#update(member, beat);
    const silentMs = this.clock.monotonicMs() - known.heardAtMs;
    if (!isSameIncarnation && silentMs > this.times.suspectAfterMs) this.#update(member, beat);
  }

  #update(member: Member, beat: number): void {
    if (member.host === this.self.host || this.#isStale(member, beat)) return;
    this.#entries.set(member.host, { member, beat, heardAtMs: this.clock.monotonicMs() });
  }

  /** A removed run comes back only with a newer heartbeat than it was removed with. */
  #isStale(member: Member, beat: number): boolean {
    return beat <= (this.#lastBeatOfRemoved.get(member.incarnation) ?? -1);
  }

  /**
   * News about a few members for one receiver, taken in turn. With one turn for all receivers, 11
   * members and 11 links had each receiver told of the same four for ever.
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

  /** News about every member. */
  allGossip(): readonly MemberGossip[] {
    return [...this.#entries.values()].map(({ member, beat }) => ({ member, beat }));
  }

  /** Known members; those silent for too long are removed. */
  list(): readonly KnownMember[] {
    const now = this.clock.monotonicMs();
    const known: KnownMember[] = [];
    for (const [host, { member, heardAtMs }] of this.#entries) {
      const silentMs = now - heardAtMs;
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
