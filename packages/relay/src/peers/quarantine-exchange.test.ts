import { pack } from 'msgpackr';
import { describe, expect, it } from 'vitest';
import { MeshNetwork } from './mocks/mesh-network.js';
import type { Host } from './mocks/mesh-network.js';
import { decodeMessage } from './peer-messages.js';

const CONTENT = 'hint-a-content';

function ports(count: number): readonly number[] {
  return Array.from({ length: count }, (_unused, index) => index + 1);
}

function network(count: number, zones = 1): MeshNetwork {
  const meshNetwork = new MeshNetwork();
  meshNetwork.zones = zones;
  for (const port of ports(count)) meshNetwork.start(port, ports(count));
  return meshNetwork;
}

/** Reports on `host` that a server terminated during a run that starts now. */
function reportTermination(host: Host | undefined, content = CONTENT): void {
  host?.quarantine.onTermination(content, host.quarantine.historyOf(content), 'i-1');
}

function holders({ hosts }: MeshNetwork): number {
  return [...hosts.values()].filter(({ quarantine }) => quarantine.judge(CONTENT) === 'held')
    .length;
}

describe('QuarantineExchange', () => {
  it.each([
    [4, 1],
    [12, 3],
    [60, 5],
  ])(
    'informs all of %i hosts in %i zones at once, whichever hosts detected the terminations',
    async (count, zones) => {
      const hosts = network(count, zones);
      await hosts.run(2000);
      for (const port of [count, 1, count - 1]) {
        reportTermination(hosts.hosts.get(port));
        await hosts.run(200);
      }
      expect(holders(hosts)).toBe(count);
    },
  );

  it('does not send from all hosts to all, and releases the request everywhere once it was served', async () => {
    const hosts = network(60, 5);
    await hosts.run(2000);
    hosts.sent.length = 0;
    let messages = 0;
    hosts.lost = ({ kind }) => {
      if (kind === 'quarantine') messages += 1;
      return false;
    };
    for (let index = 0; index < 3; index += 1) reportTermination(hosts.hosts.get(30));
    await hosts.run(300);
    expect(holders(hosts)).toBe(60);
    // Three changes are sent at once: to the two coordinators, and once by each of those to all.
    expect(messages).toBeLessThan(3 * 2 * 60);
    hosts.hosts.get(17)?.quarantine.onServed(CONTENT);
    await hosts.run(300);
    expect(holders(hosts)).toBe(0);
  });

  it('reaches all hosts within three seconds by heartbeats alone, of which four in ten are lost', async () => {
    const hosts = network(12, 3);
    await hosts.run(2000);
    let randomState = 1;
    hosts.lost = ({ kind }) => {
      randomState = (randomState * 16_807) % 2_147_483_647;
      return kind === 'quarantine' || randomState % 10 < 4;
    };
    for (let index = 0; index < 3; index += 1) reportTermination(hosts.hosts.get(9));
    await hosts.run(3000);
    expect(holders(hosts)).toBe(12);
  });

  it('lets exactly one host allow a trial run when the hold time of a request is over', async () => {
    const hosts = network(12, 3);
    await hosts.run(2000);
    for (let index = 0; index < 3; index += 1) reportTermination(hosts.hosts.get(9));
    await hosts.run(19_000);
    let trials = 0;
    for (let passedMs = 0; passedMs < 15_000; passedMs += 50) {
      await hosts.run(50);
      for (const { quarantine } of hosts.hosts.values()) {
        if (quarantine.judge(CONTENT) === 'trial') trials += 1;
      }
    }
    expect(trials).toBe(1);
  });

  it('reaches a host that has just started, and lasts when the hosts that reported it first are gone', async () => {
    const hosts = network(6, 2);
    await hosts.run(2000);
    for (let index = 0; index < 3; index += 1) reportTermination(hosts.hosts.get(1));
    await hosts.run(500);
    for (const port of [1, 2]) hosts.hosts.delete(port);
    await hosts.run(5000);
    const started = hosts.start(1, ports(6));
    await hosts.run(1000);
    expect(started.quarantine.judge(CONTENT)).toBe('held');
  });

  it('agrees again once a network partition has healed', async () => {
    const hosts = network(6);
    await hosts.run(2000);
    const isOnFirstSide = (port: number) => port <= 3;
    const from = new Map(ports(6).map((port) => [`host-${String(port)}`, port]));
    const isAcrossPartition = (sender: string, to: number) =>
      isOnFirstSide(from.get(sender) ?? 0) !== isOnFirstSide(to);
    const runPartitioned = async (forMs: number) => {
      for (let passedMs = 0; passedMs < forMs; passedMs += 50) {
        await hosts.clock.advance(50);
        const kept = hosts.sent.filter(({ from: sender, to }) => !isAcrossPartition(sender, to));
        hosts.sent.splice(0, hosts.sent.length, ...kept);
        while (hosts.sent.length > 0) hosts.deliver(0);
      }
    };
    await runPartitioned(4000);
    for (let index = 0; index < 3; index += 1) reportTermination(hosts.hosts.get(5));
    reportTermination(hosts.hosts.get(2));
    await runPartitioned(2000);
    expect(holders(hosts)).toBe(3);
    await hosts.run(2500);
    expect(holders(hosts)).toBe(6);
  });

  it('accepts heartbeats of an earlier release, which knows no quarantine', () => {
    const hosts = network(2);
    const beat = hosts.sent.find(({ message }) => message.kind === 'beat');
    if (beat?.message.kind !== 'beat') throw new Error('no heartbeat');
    const { quarantine, ...earlier } = beat.message;
    expect(quarantine).toEqual([]);
    expect(decodeMessage(pack(earlier))).toMatchObject({ kind: 'beat', quarantine: [] });
  });

  it('sends at most 24 KB per second when a thousand different requests terminate servers', async () => {
    const hosts = network(6, 2);
    await hosts.run(2000);
    let told = 0;
    let most = 0;
    hosts.lost = (message) => {
      if (message.kind === 'quarantine') {
        told += 1;
        most = Math.max(most, message.entries.length);
      }
      return false;
    };
    for (let second = 0; second < 5; second += 1) {
      for (let index = 0; index < 200; index += 1) {
        reportTermination(hosts.hosts.get(4), `content-${String(second)}-${String(index)}`);
      }
      await hosts.run(1000);
    }
    expect(most).toBeLessThanOrEqual(16);
    // At most one message per 100 ms from each host to each of the five others.
    expect(told).toBeLessThanOrEqual(6 * 51 * 5);
  });
});
