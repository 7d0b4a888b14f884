import { parseJson } from '@poppypond/core';
import type { Result } from 'true-myth';
import { z } from 'zod';
import type { PlatformConnection } from './platform-connection.js';
import type { ObjectStore, StoreFault } from './table-store.js';

const namesSchema = z.object({ names: z.array(z.string()) });
const OK = 200;
const NOT_FOUND = 404;

/** The platform's object store over HTTP. */
export class PlatformObjects implements ObjectStore {
  constructor(readonly connection: PlatformConnection) {}

  async put(name: string, body: string): Promise<Result<void, StoreFault>> {
    const reply = await this.connection.call({ method: 'PUT', body }, `/objects/${name}`, [OK]);
    return reply.map(() => undefined);
  }

  async get(name: string): Promise<Result<string | undefined, StoreFault>> {
    const path = `/objects/${name}`;
    const reply = await this.connection.call({ method: 'GET' }, path, [OK, NOT_FOUND]);
    return reply.map(({ status, body }) => (status === OK ? body : undefined));
  }

  async list(prefix: string, after = ''): Promise<Result<readonly string[], StoreFault>> {
    const query = new URLSearchParams({ prefix, after });
    const path = `/objects?${query.toString()}`;
    const reply = await this.connection.call({ method: 'GET' }, path, [OK]);
    return reply.map(({ body }) => namesSchema.parse(parseJson(body)).names);
  }

  async remove(name: string): Promise<Result<void, StoreFault>> {
    const path = `/objects/${name}`;
    const reply = await this.connection.call({ method: 'DELETE' }, path, [OK, NOT_FOUND]);
    return reply.map(() => undefined);
  }
}
