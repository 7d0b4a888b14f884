import { listReservations, releaseReservations } from '@poppypond/backend';
import type { MemoryReservation } from '@poppypond/backend';
import { parseJson, parseOwner } from '@poppypond/core';
import type { Versioned } from '@poppypond/objects';
import { callHttp } from '@poppypond/web';
import { z } from 'zod';
import type { ControllerContext } from '../context.js';
import { isUnchanged, findReleaseReason } from './find-release-reason.js';
import type { ClaimResponse } from './find-release-reason.js';

const QUERY_TIMEOUT_MS = 2000;

const claimSchema = z.object({ owner: z.string(), isClaimed: z.boolean() });
const statusSchema = z.object({
  host: z.string(),
  peers: z.array(z.object({ host: z.string(), callerUrl: z.string() })),
});

/**
 * Releases engine memory that no live request needs and that was not renewed between two passes.
 */
export class MemorySweep {
  #previous = new Map<string, MemoryReservation>();

  constructor(readonly context: ControllerContext) {}

  /** Runs one pass over all engines. */
  async run(engines: readonly Versioned<'backend-server'>[]): Promise<void> {
    const hosts = await this.#findHosts();
    const seen = new Map<string, MemoryReservation>();
    for (const engine of engines) await this.#sweepEngine(engine, hosts, seen);
    this.#previous = seen;
  }

  async #sweepEngine(
    engine: Versioned<'backend-server'>,
    hosts: ReadonlyMap<string, string>,
    seen: Map<string, MemoryReservation>,
  ): Promise<void> {
    const { name, spec } = engine.object;
    const listed = await listReservations(spec.url);
    if (listed.isErr) return;
    for (const held of listed.value) {
      const key = `${name}/${held.id}`;
      if (held.ttlMs > 0 || held.isRunning) continue;
      seen.set(key, held);
      if (!isUnchanged(this.#previous.get(key), held)) continue;
      const answer = await this.#queryOwner(hosts, spec.url, held);
      const reason = findReleaseReason(held, answer);
      if (reason) await this.#release(engine, held, reason);
    }
  }

  async #release(
    engine: Versioned<'backend-server'>,
    held: MemoryReservation,
    reason: string,
  ): Promise<void> {
    const { context } = this;
    const { name, spec, labels } = engine.object;
    const released = await releaseReservations(spec.url, [held.id]);
    if (released.isErr) return;
    context.metrics.count('engine_memory.swept_tokens', released.value);
    context.log.info('memory_swept', { engine: name, tokens: released.value, reason });
    context.decisions.record({
      kind: 'sweep',
      host: context.decisions.host,
      wallMs: context.clock.wallMs(),
      requestId: held.requestId,
      labels: { ...labels, server: name },
      revision: context.reader.holder.current.revision,
      choice: `released ${held.id} on ${name}: ${reason}`,
      state: { tokens: held.tokens, owner: held.owner, timeRemainingMs: held.timeRemainingMs },
      passedOver: [],
    });
  }

  /**
   * Maps host names to addresses, from the gateways in the settings and the peers that they report.
   */
  async #findHosts(): Promise<ReadonlyMap<string, string>> {
    const hosts = new Map<string, string>();
    const replies = await Promise.all(
      this.context.settings.gateways.map(async (url) => ({
        url,
        reply: await callHttp({ method: 'GET', url: `${url}/status`, timeoutMs: QUERY_TIMEOUT_MS }),
      })),
    );
    for (const { url, reply } of replies) {
      const status = statusSchema.safeParse(reply.isOk ? parseJson(reply.value.body) : undefined);
      if (!status.success) continue;
      hosts.set(status.data.host, url);
      for (const peer of status.data.peers) {
        if (!hosts.has(peer.host)) hosts.set(peer.host, peer.callerUrl);
      }
    }
    return hosts;
  }

  async #queryOwner(
    hosts: ReadonlyMap<string, string>,
    engineUrl: string,
    held: MemoryReservation,
  ): Promise<ClaimResponse | undefined> {
    const host = parseOwner(held.owner)?.host;
    const url = host === undefined ? undefined : hosts.get(host);
    if (url === undefined) return undefined;
    const query = new URLSearchParams({ engine: engineUrl, reservation: held.id }).toString();
    const claimsUrl = `${url}/claims?${query}`;
    const reply = await callHttp({ method: 'GET', url: claimsUrl, timeoutMs: QUERY_TIMEOUT_MS });
    const parsed = claimSchema.safeParse(reply.isOk ? parseJson(reply.value.body) : undefined);
    const owner = parsed.success ? parseOwner(parsed.data.owner) : undefined;
    return owner && parsed.success ? { owner, isClaimed: parsed.data.isClaimed } : undefined;
  }
}
