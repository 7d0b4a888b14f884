import type { Clock, Milliseconds } from '@poppypond/core';
import type { Member } from './messages.js';

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

  constructor(
    readonly self: Member,
    readonly times: MembershipTimes,
    readonly clock: Clock,
  ) {}

  /** Notes that a member was heard of directly, or for the first time through another. */
  hear(member: Member, isDirect: boolean): void {
    if (member.host === this.self.host) return;
    const known = this.#entries.get(member.host);
    if (known && known.member.incarnation === member.incarnation && !isDirect) return;
    if (known && known.member.incarnation !== member.incarnation && !isDirect) return;
    this.#entries.set(member.host, { member, heardAtMs: this.clock.monotonicMs() });
  }

  /** The host said that it goes; it isn't waited for. */
  forget(host: string, incarnation: string): void {
    if (this.#entries.get(host)?.member.incarnation === incarnation) this.#entries.delete(host);
  }

  /** Known members; those silent for too long are removed. */
  list(): readonly KnownMember[] {
    const now = this.clock.monotonicMs();
    const known: KnownMember[] = [];
    for (const [host, { member, heardAtMs }] of this.#entries) {
      const silentMs = now - heardAtMs;
      if (silentMs > this.times.removeAfterMs) this.#entries.delete(host);
      else {
        const state = silentMs > this.times.suspectAfterMs ? 'suspect' : 'alive';
        known.push({ member, state, silentMs });
      }
    }
    return known;
  }

  find(host: string): Member | undefined {
    return this.#entries.get(host)?.member;
  }
}
