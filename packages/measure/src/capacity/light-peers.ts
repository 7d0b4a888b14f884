import { newOwner, SystemClock } from '@poppypond/core';
import { PeerMesh } from '@poppypond/peer';
import { listen } from '@poppypond/web';
import type { ListeningServer } from '@poppypond/web';

interface LightPeer {
  readonly mesh: PeerMesh;
  readonly server: ListeningServer;
}

/** Peers that only take part in the membership protocol, so that many run in one process. */
export class LightPeers {
  readonly #peers: LightPeer[] = [];
  readonly #clock = new SystemClock();

  async start(count: number, seed: string, fanOut: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      const server = await listen((_request, response) => response.end(), '127.0.0.1', 0);
      const owner = newOwner(`light-${String(index)}`);
      const peerUrl = server.url.replace('http:', 'ws:');
      const self = { ...owner, zone: 'a', peerUrl, callerUrl: server.url };
      const times = { heartbeatMs: 500, suspectAfterMs: 2000, removeAfterMs: 15_000 };
      const mesh = new PeerMesh(
        { ...times, self, seeds: [seed], fanOut },
        this.#clock,
        server.server,
      );
      mesh.start();
      this.#peers.push({ mesh, server });
    }
  }

  async stop(): Promise<void> {
    for (const { mesh } of this.#peers) mesh.stop();
    await Promise.all(this.#peers.map(({ server }) => server.close()));
  }
}
