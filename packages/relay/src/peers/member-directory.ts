import { parseJson } from '@poppypond/core';
import type { Log } from '@poppypond/telemetry';
import { z } from 'zod';
import type { RowStore } from '../ports.js';
import type { PeerAddress } from './peer-list.js';

const MEMBERS_TABLE = 'members';

const memberSchema = z.object({
  address: z.string(),
  port: z.number(),
  capacity: z.number().default(1),
});

/** The list of relays in the store, through which hosts that just started find each other. */
export class MemberDirectory {
  constructor(
    readonly store: RowStore,
    readonly log: Log,
  ) {}

  /**
   * Enters this host, then reads who else is there. Of two hosts that start at once, the later
   * reader sees both, so at least one of them tells the other. Undefined where the store failed.
   */
  async join(self: PeerAddress): Promise<readonly PeerAddress[] | undefined> {
    const { address, port, capacity } = self;
    const value = Buffer.from(JSON.stringify({ address, port, capacity }));
    const written = await this.store.put(MEMBERS_TABLE, self.host, value);
    if (written.isErr) return this.#failed('join', written.error.detail);
    const read = await this.store.read(MEMBERS_TABLE);
    if (read.isErr) return this.#failed('list', read.error.detail);
    return read.value.rows.flatMap(({ key, value: row }) => {
      const member = memberSchema.safeParse(row && parseJson(row.toString('utf8')));
      return member.success ? [{ host: key, ...member.data }] : [];
    });
  }

  /** Takes this host off the list. */
  async leave(host: string): Promise<void> {
    const removed = await this.store.remove(MEMBERS_TABLE, host);
    if (removed.isErr) this.#failed('leave', removed.error.detail);
  }

  #failed(step: string, why: string): undefined {
    this.log.warn('member_directory_failed', { step, why });
    return undefined;
  }
}
