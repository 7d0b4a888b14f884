import { parseJson } from '@poppypond/core';
import type { Log } from '@poppypond/telemetry';
import { z } from 'zod';
import type { CountedStore } from '../store/counted-store.js';
import type { PeerAddress } from './peer-list.js';

const MEMBERS_TABLE = 'members';

const MAX_PORT = 65_535;

/** All that a host writes of itself; a row that is not of that form was written by another program. */
const memberSchema = z.object({
  address: z.ipv4(),
  port: z.int().min(1).max(MAX_PORT),
  availabilityZone: z.string(),
  capacity: z.number().positive(),
});

function isSameAddress(left: PeerAddress, right: PeerAddress): boolean {
  return (
    left.address === right.address &&
    left.port === right.port &&
    left.availabilityZone === right.availabilityZone &&
    left.capacity === right.capacity
  );
}

/** The list of relays in the store, through which hosts that just started find each other. */
export class MemberDirectory {
  constructor(
    readonly store: CountedStore,
    readonly log: Log,
  ) {}

  /**
   * Reads who is there, and enters this host where it is not listed as it is: a host that starts
   * again makes one call. Of two hosts that enter at once, the later reader sees both, so at least
   * one of them tells the other. `isFirstStart`: no host can be listed yet. Undefined where the
   * store failed.
   */
  async join(
    self: PeerAddress,
    isFirstStart: boolean,
  ): Promise<readonly PeerAddress[] | undefined> {
    const known = isFirstStart ? [] : await this.#readMembers();
    if (
      !known ||
      known.some((member) => member.host === self.host && isSameAddress(member, self))
    ) {
      return known;
    }
    const { address, port, availabilityZone, capacity } = self;
    const value = Buffer.from(JSON.stringify({ address, port, availabilityZone, capacity }));
    const written = await this.store.put(MEMBERS_TABLE, self.host, value, 'own_row');
    return written.isErr ? this.#logFailure('join', written.error.detail) : this.#readMembers();
  }

  /** Takes a host off the list that is gone for good. */
  async remove(host: string): Promise<void> {
    const removed = await this.store.remove(MEMBERS_TABLE, host, 'removal');
    if (removed.isErr) this.#logFailure('remove', removed.error.detail);
  }

  async #readMembers(): Promise<readonly PeerAddress[] | undefined> {
    const read = await this.store.read(MEMBERS_TABLE, 'members');
    if (read.isErr) return this.#logFailure('list', read.error.detail);
    return read.value.rows.flatMap(({ key, value: row }) => {
      const member = memberSchema.safeParse(row && parseJson(row.toString('utf8')));
      if (member.success) return [{ host: key, ...member.data }];
      this.log.warn('member_entry_unusable', { peer: key });
      return [];
    });
  }

  #logFailure(step: string, why: string): undefined {
    this.log.warn('member_directory_failed', { step, why });
    return undefined;
  }
}
