import { describe, expect, it } from 'vitest';
import { partKeyOf } from '../quarantine/part-quarantine.js';
import { MeshNetwork } from './mocks/mesh-network.js';
import type { Host } from './mocks/mesh-network.js';

const SHARED = partKeyOf('engines', 'aa01');
const FATAL = partKeyOf('engines', 'dead01');

async function network(count: number, zones: number): Promise<MeshNetwork> {
  const meshNetwork = new MeshNetwork();
  meshNetwork.zones = zones;
  const ports = Array.from({ length: count }, (_unused, index) => index + 1);
  for (const port of ports) meshNetwork.start(port, ports);
  await meshNetwork.run(2000);
  return meshNetwork;
}

function hostAt({ hosts }: MeshNetwork, port: number): Host {
  const host = hosts.get(port);
  if (!host) throw new Error(`no host at ${String(port)}`);
  return host;
}

function holders({ hosts }: MeshNetwork, part: string): number {
  return [...hosts.values()].filter(({ quarantine }) => quarantine.isHeld(part)).length;
}

/** Ends a server under a run of `host` with some parts. */
function endServer({ clock, partQuarantine }: Host, id: string, parts: readonly string[]): void {
  const place = { address: '127.0.0.1', port: 9, availabilityZone: 'z', slots: 1 };
  const server = { id, service: 'engines', isDraining: false, ...place };
  const end = { server, atMs: clock.monotonicMs(), isPrompt: true };
  partQuarantine.onTerminated(end, parts, 0, `${id}-request`);
}

/** Ends five servers, 200 ms apart, each under a run of another host with both parts. */
async function endServers(hosts: MeshNetwork): Promise<void> {
  for (let index = 0; index < 5; index += 1) {
    endServer(hostAt(hosts, index + 1), `i-${String(index)}`, [SHARED, FATAL]);
    await hosts.run(200);
  }
}

describe('PartTerminationExchange', () => {
  it.each([
    [6, 1],
    [60, 5],
  ])(
    'makes all of %i hosts hold a part whose servers ended at five hosts',
    async (count, zones) => {
      const hosts = await network(count, zones);
      let messages = 0;
      hosts.lost = ({ kind }) => {
        if (kind === 'part_terminations') messages += 1;
        return false;
      };
      await endServers(hosts);
      expect(holders(hosts, FATAL)).toBe(count);
      // Each report goes to the two coordinators and from each of those once to all.
      expect(messages).toBeLessThanOrEqual(5 * 2 * (count + zones));
    },
  );

  it('reports the parts of all runs that end with a server, not only of the last one', async () => {
    const hosts = await network(12, 3);
    for (let index = 0; index < 5; index += 1) {
      const host = hostAt(hosts, index + 1);
      endServer(host, `other-${String(index)}`, [`part:engines/o${String(index)}`]);
      endServer(host, `i-${String(index)}`, [FATAL]);
      endServer(host, `i-${String(index)}`, [`part:engines/n${String(index)}`]);
      await hosts.run(200);
    }
    expect(holders(hosts, FATAL)).toBe(12);
  });

  it('holds no part on any host that one of the hosts serves meanwhile', async () => {
    const hosts = await network(12, 3);
    hostAt(hosts, 9).partQuarantine.onServed([SHARED]);
    await endServers(hosts);
    await hosts.run(1000);
    expect(holders(hosts, FATAL)).toBe(12);
    expect(holders(hosts, SHARED)).toBe(0);
  });

  it('holds the part on a host that starts or starts again later', async () => {
    const hosts = await network(6, 1);
    await endServers(hosts);
    for (const port of [4, 7]) hosts.start(port, [1, 2, 3, 4, 5, 6, 7]);
    await hosts.run(3000);
    expect(holders(hosts, FATAL)).toBe(7);
  });

  it('holds the part on all hosts although no report reaches more than one of them', async () => {
    const hosts = await network(12, 3);
    hosts.lost = ({ kind }, to) => kind === 'part_terminations' && to !== 'host-1';
    await endServers(hosts);
    await hosts.run(3000);
    expect(holders(hosts, FATAL)).toBe(12);
  });
});
