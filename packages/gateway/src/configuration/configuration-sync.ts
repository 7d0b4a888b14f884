import type { CancelTimer, Milliseconds } from '@poppypond/core';
import { Configuration, objectId, objectSchema } from '@poppypond/objects';
import type { PeerMesh } from '@poppypond/peer';
import { ConfigurationReader } from '@poppypond/state';
import type { ConfigurationHolder, TableStore } from '@poppypond/state';
import { z } from 'zod';
import type { GatewayContext } from '../context.js';

const CHANGES_MESSAGE = 'configuration-changes';
const SNAPSHOT_REQUEST_MESSAGE = 'configuration-ask';
const SNAPSHOT_MESSAGE = 'configuration-whole';

const changesSchema = z.object({
  after: z.int().nonnegative(),
  changes: z.array(z.object({ id: z.string(), revision: z.int(), after: objectSchema.nullable() })),
});
const snapshotRequestSchema = z.object({ have: z.int().nonnegative() });
const snapshotSchema = z.object({
  revision: z.int(),
  objects: z.array(z.object({ revision: z.int(), object: objectSchema })),
});

const JITTER_SHARE = 0.3;

/**
 * Applies accepted configuration changes on this host. Polls the table for the newest revision and
 * receives changes from peers. Only changes that the table has accepted are forwarded.
 */
export class ConfigurationSync {
  readonly #reader: ConfigurationReader;
  #cancelTimer: CancelTimer | undefined;

  readonly holder: ConfigurationHolder;

  constructor(
    readonly context: Pick<GatewayContext, 'clock' | 'configuration' | 'log' | 'settings'>,
    table: TableStore,
    readonly mesh: PeerMesh,
  ) {
    const { configuration: holder, clock, log } = context;
    this.holder = holder;
    this.#reader = new ConfigurationReader(holder, table, clock);
    mesh.on(CHANGES_MESSAGE, changesSchema, (from, { after, changes }) => {
      const result = holder.advance(after, changes);
      if (result === 'advanced') mesh.broadcast(CHANGES_MESSAGE, { after, changes }, from.host);
      if (result === 'gap')
        mesh.send(from.host, SNAPSHOT_REQUEST_MESSAGE, { have: holder.current.revision });
    });
    mesh.on(SNAPSHOT_REQUEST_MESSAGE, snapshotRequestSchema, (from, { have }) => {
      if (holder.current.revision > have) mesh.send(from.host, SNAPSHOT_MESSAGE, this.#snapshot());
    });
    mesh.on(SNAPSHOT_MESSAGE, snapshotSchema, (_from, { revision, objects }) => {
      const stored = objects.map((item) => [objectId(item.object), item] as const);
      holder.replace(new Configuration(revision, new Map(stored)));
    });
    mesh.onPeerConnected = (member) => {
      mesh.send(member.host, SNAPSHOT_REQUEST_MESSAGE, { have: holder.current.revision });
    };
    holder.onChange((configuration) => {
      log.info('configuration_in_force', { revision: configuration.revision });
    });
  }

  /** Monotonic time of the table's last response; undefined before the first. */
  get lastStoreResponseAtMs(): Milliseconds | undefined {
    return this.#reader.lastResponseAtMs;
  }

  async start(): Promise<void> {
    await this.poll();
    this.#schedule();
  }

  stop(): void {
    this.#cancelTimer?.();
  }

  /** Reads new changes from the table and broadcasts them to peers. */
  async poll(): Promise<void> {
    const read = await this.#reader.poll();
    if (read) this.mesh.broadcast(CHANGES_MESSAGE, read);
  }

  #snapshot(): z.infer<typeof snapshotSchema> {
    const { revision } = this.holder.current;
    return { revision, objects: this.holder.current.all().map((stored) => ({ ...stored })) };
  }

  #schedule(): void {
    const delayMs = this.context.settings.configPollMs * (1 - JITTER_SHARE * Math.random());
    this.#cancelTimer = this.context.clock.after(delayMs, () => {
      void this.poll().then(() => {
        this.#schedule();
      });
    });
  }
}
