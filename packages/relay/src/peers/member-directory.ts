import { parseJson } from '@poppypond/core';
import type { Clock } from '@poppypond/core';
import type { Log } from '@poppypond/telemetry';
import { z } from 'zod';
import type { CountedStore } from '../store/counted-store.js';
import type { PeerAddress } from './peer-list.js';

const MEMBERS_TABLE = 'members';

const MAX_PORT = 65_535;

/**
 * The row that a host writes for itself. A row of any other form was written by another program.
 */
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

/** The list of relays in the store, through which hosts that have just started find each other. */
export class MemberDirectory {
  constructor(
    readonly clock: Clock,
    readonly store: CountedStore,
    readonly log: Log,
  ) {}

  /**
   * Reads the listed hosts, and writes the entry of this one if it is missing or outdated: a host
   * that restarts makes one call. If two hosts write their entries at once, the one that reads
   * later sees both, so at least one of them contacts the other. `isFirstStart`: no host can be
   * listed yet. Returns undefined if the store failed.
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

  /** Removes the entry of a host that is permanently gone. */
  async remove(host: string): Promise<void> {
    const removed = await this.store.remove(MEMBERS_TABLE, host, 'removal');
    if (removed.isErr) this.#logFailure('remove', removed.error.detail);
  }

  async #readMembers(): Promise<readonly PeerAddress[] | undefined> {
    const read = await this.store.readFirst(this.clock, MEMBERS_TABLE, 'members');
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
