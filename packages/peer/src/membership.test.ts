import { ManualClock } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { Membership } from './membership.js';
import type { Member } from './messages.js';

function member(index: number): Member {
  const host = `h${String(index)}`;
  const url = `ws://127.0.0.1:${String(index + 1)}`;
  return { host, incarnation: `${host}-1`, zone: 'a', peerUrl: url, callerUrl: url };
}

describe('Membership', () => {
  it.each([
    [11, 11],
    [8, 2],
    [4, 1],
    [12, 6],
  ])(
    'sends gossip about each of %i members to each of %i receivers in rotation',
    (members, receivers) => {
      const times = { suspectAfterMs: 200, removeAfterMs: 600 };
      const membership = new Membership(member(99), times, new ManualClock());
      for (let index = 0; index < members; index += 1) membership.recordContact(member(index), 1);
      const told = new Map<string, Set<string>>();
      const rounds = Math.ceil(members / 4);
      for (let round = 0; round < rounds; round += 1) {
        for (let index = 0; index < receivers; index += 1) {
          const { host } = member(index);
          const receivedHosts = told.get(host) ?? new Set();
          for (const news of membership.nextGossip(host, 4)) receivedHosts.add(news.member.host);
          told.set(host, receivedHosts);
        }
      }
      expect([...told.values()].map((receivedHosts) => receivedHosts.size)).toEqual(
        Array.from({ length: receivers }, () => members),
      );
    },
  );
});
