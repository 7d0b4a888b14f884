import type { Clock, Milliseconds } from '@poppypond/core';
import type { PeerMesh } from '@poppypond/peer';
import type { PlatformHosts } from '@poppypond/state';
import { z } from 'zod';
import type { EngineDirectory } from '../engines/engine-directory.js';
import type { ServiceDirectory } from '../services/service-directory.js';

const LEAVING_MESSAGE = 'servers-leaving';
const POLL_MS = 1000;
/** Time for which a peer's report of a leaving server counts after it was last received. */
const PEER_REPORT_TTL_MS = 5000;

const leavingSchema = z.object({ servers: z.array(z.string()) });

/**
 * Combines the sources that report a backend server as leaving: the platform's host list, which
 * lags, and the servers' own reports, received directly or through peers. The directories check
 * the reports that this host receives directly.
 */
export class LeavingServersMonitor {
  #listed: ReadonlySet<string> = new Set();
  readonly #reportedByPeers = new Map<string, Milliseconds>();

  constructor(
    readonly hosts: PlatformHosts,
    readonly mesh: PeerMesh,
    readonly engines: EngineDirectory,
    readonly services: ServiceDirectory,
    readonly clock: Clock,
  ) {
    mesh.on(LEAVING_MESSAGE, leavingSchema, (_from, { servers }) => {
      for (const server of servers) this.#reportedByPeers.set(server, clock.monotonicMs());
      this.#updateDirectories();
    });
    clock.every(POLL_MS, () => {
      void this.#poll();
    });
  }

  async #poll(): Promise<void> {
    const listed = await this.hosts.list();
    if (listed.isOk) {
      const leaving = [...listed.value].filter(([, state]) => state !== 'live');
      this.#listed = new Set(leaving.map(([name]) => name));
    }
    this.#broadcastSelfReported();
    this.#updateDirectories();
  }

  /** Broadcasts the servers that report to this host that they are leaving, as long as they do. */
  #broadcastSelfReported(): void {
    const selfReported = [
      ...this.engines.selfReportedLeaving(),
      ...this.services.selfReportedLeaving(),
    ];
    if (selfReported.length > 0) this.mesh.broadcast(LEAVING_MESSAGE, { servers: selfReported });
  }

  #updateDirectories(): void {
    const now = this.clock.monotonicMs();
    for (const [server, atMs] of this.#reportedByPeers) {
      if (now - atMs > PEER_REPORT_TTL_MS) this.#reportedByPeers.delete(server);
    }
    const leaving = new Set([...this.#listed, ...this.#reportedByPeers.keys()]);
    this.engines.setLeavingServers(leaving);
    this.services.setLeavingServers(leaving);
  }
}
