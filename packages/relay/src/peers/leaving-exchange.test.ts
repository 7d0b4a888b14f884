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

describe('LeavingNews', () => {
  it.each([
    [4, 1],
    [12, 3],
    [60, 5],
  ])('tells all of %i hosts in %i zones at once, whoever heard it', async (count, zones) => {
    const hosts = network(count, zones);
    await hosts.run(2000);
    hosts.hosts.get(count)?.notices.recordNotice(ENGINE, LEAVING_NOTICE);
    await hosts.run(100);
    expect(countInformedHosts(hosts)).toBe(count);
  });

  it('sends no message from all to all, also where all hear it at once, and each but once', async () => {
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
    // Each tells the first two, which tell all of their zone and one host of each other.
    expect(once).toBeLessThan(3 * 60);
    for (const { notices } of hosts.hosts.values()) notices.recordNotice(ENGINE, LEAVING_NOTICE);
    await hosts.run(100);
    expect(messages).toBe(once);
  });

  it('has planners elsewhere plan nothing there, by the first word of any host', async () => {
    const hosts = network(12, 3);
    await hosts.run(2000);
    hosts.hosts.get(12)?.notices.recordNotice(ENGINE, LEAVING_NOTICE);
    await hosts.run(100);
    for (const { list } of hosts.hosts.values()) expect(list.available(ENGINE.service)).toEqual([]);
  });

  it('takes questions to planners of a release that knows of no exclusion', () => {
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
