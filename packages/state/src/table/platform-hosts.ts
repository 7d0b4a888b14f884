import { parseJson } from '@poppypond/core';
import type { Result } from 'true-myth';
import { z } from 'zod';
import type { PlatformConnection } from './platform-connection.js';
import type { StoreFault } from './table-store.js';

const hostsSchema = z.object({
  hosts: z.record(z.string(), z.enum(['live', 'leaving', 'gone'])),
});
const OK = 200;

/** State of a host in the host list, which lags behind the actual state. */
export type HostState = 'live' | 'leaving' | 'gone';

/** The platform's list of live, leaving and gone hosts over HTTP. */
export class PlatformHosts {
  constructor(readonly connection: PlatformConnection) {}

  async list(): Promise<Result<ReadonlyMap<string, HostState>, StoreFault>> {
    const reply = await this.connection.call({ method: 'GET' }, '/hosts', [OK]);
    return reply.map(
      ({ body }) => new Map(Object.entries(hostsSchema.parse(parseJson(body)).hosts)),
    );
  }
}
