import { ManualClock } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import type { PeerAddress } from '../peers/peer-list.js';
import { ForwardingPeers } from './forwarding-peers.js';

const REGIONS = new Map([
  ['zone-a', 'north'],
  ['zone-b', 'north'],
  ['zone-c', 'south'],
]);

function peer(host: string, availabilityZone: string): PeerAddress {
  return { host, address: '127.0.0.1', port: 1, availabilityZone, capacity: 1 };
}

function setUp(members: readonly PeerAddress[]) {
  const clock = new ManualClock();
  const place = { availabilityZone: 'zone-a', regions: REGIONS };
  const peers = new ForwardingPeers({ clock, random: () => 0.5, ...place });
  peers.setMembers(() => members);
  return { clock, peers };
}

describe('ForwardingPeers', () => {
  const members = [peer('a-2', 'zone-a'), peer('b-1', 'zone-b'), peer('c-1', 'zone-c')];

  it('tries peers of the own zone and of others in turn, and those of the own region only', () => {
    const { peers } = setUp(members);
    expect(peers.choose(new Set())?.host).toBe('a-2');
    expect(peers.choose(new Set(['a-2']))?.host).toBe('b-1');
    expect(peers.choose(new Set(['a-2', 'b-1']))).toBeUndefined();
  });

  it('uses other regions if the own one has no other host', () => {
    const { peers } = setUp([peer('c-1', 'zone-c')]);
    expect(peers.choose(new Set())?.host).toBe('c-1');
  });

  it('prefers peers that have forwarded, and asks slow and unavailable ones last', async () => {
    const { clock, peers } = setUp(members);
    peers.record('b-1', 'usable');
    expect(peers.choose(new Set())?.host).toBe('b-1');
    peers.record('a-2', 'unavailable');
    peers.record('b-1', 'slow');
    expect(peers.choose(new Set())?.host).toBe('b-1');
    expect(peers.choose(new Set(['b-1']))?.host).toBe('a-2');
    peers.record('b-1', 'unavailable');
    await clock.advance(2000);
    expect(peers.choose(new Set())?.host).toBe('a-2');
  });
});
