import { pack } from 'msgpackr';
import { describe, expect, it } from 'vitest';
import { ENGINE, MeshNetwork } from './mocks/mesh-network.js';
import { decodeMessage } from './peer-messages.js';

const LEAVING_NOTICE = { isLeaving: true, backoffMs: undefined };

function network(count: number, zones: number): MeshNetwork {
  const meshNetwork = new MeshNetwork();
  meshNetwork.zones = zones;
  const ports = Array.from({ length: count }, (_unused, index) => index + 1);
  for (const port of ports) meshNetwork.start(port, ports);
  return meshNetwork;
}

function countInformedHosts({ hosts }: MeshNetwork): number {
  return [...hosts.values()].filter(({ list }) => list.isLeaving(ENGINE)).length;
}

describe('LeavingExchange', () => {
  it.each([
    [4, 1],
    [12, 3],
    [60, 5],
  ])(
    'informs all of %i hosts in %i zones at once, whichever host received the notice',
    async (count, zones) => {
      const hosts = network(count, zones);
      await hosts.run(2000);
      hosts.hosts.get(count)?.notices.recordNotice(ENGINE, LEAVING_NOTICE);
      await hosts.run(100);
      expect(countInformedHosts(hosts)).toBe(count);
    },
  );

  it('does not send from all hosts to all when all receive the notice, and sends no repetition', async () => {
    const hosts = network(60, 5);
    await hosts.run(2000);
    let messages = 0;
    hosts.lost = ({ kind }) => {
      if (kind === 'leaving') messages += 1;
      return false;
    };
    for (const { notices } of hosts.hosts.values()) notices.recordNotice(ENGINE, LEAVING_NOTICE);
    await hosts.run(100);
    const once = messages;
    // Each host sends to the two coordinators, which send to all of their zone and to one host of
    // each other zone.
    expect(once).toBeLessThan(3 * 60);
    for (const { notices } of hosts.hosts.values()) notices.recordNotice(ENGINE, LEAVING_NOTICE);
    await hosts.run(100);
    expect(messages).toBe(once);
  });

  it('makes all hosts stop selecting a server as soon as one of them has received its notice', async () => {
    const hosts = network(12, 3);
    await hosts.run(2000);
    hosts.hosts.get(12)?.notices.recordNotice(ENGINE, LEAVING_NOTICE);
    await hosts.run(100);
    for (const { list } of hosts.hosts.values()) expect(list.available(ENGINE.service)).toEqual([]);
  });

  it('accepts plan requests of an earlier release, which knows no excluded servers', () => {
    const ask = {
      attempt: 'a',
      request: 'r',
      service: 's',
      workspace: 'w',
      priority: 1,
      promptTokens: 1,
      answerTokens: 1,
      aimMs: 1,
      gapAimMs: 1,
      waitedMs: 0,
      silentMs: 0,
      leftMs: 1,
      isRepeated: false,
      avoidedIds: [],
    };
    const message = { kind: 'ask', host: 'h', incarnation: 'i', port: 1, ask };
    expect(decodeMessage(pack(message))).toMatchObject({ ask: { excludedIds: [] } });
  });
});
