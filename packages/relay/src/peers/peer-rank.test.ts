import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { PeerAddress } from './peer-list.js';
import { rankPeers } from './peer-rank.js';

const peer = fc.record({
  host: fc.uuid(),
  address: fc.constant('a'),
  port: fc.constant(1),
  availabilityZone: fc.constantFrom('a', 'b', 'c'),
  capacity: fc.constantFrom(0.3, 1.3),
});

function named(host: string, availabilityZone: string, capacity: number): PeerAddress {
  return { host, address: 'a', port: 1, availabilityZone, capacity };
}

describe('rankPeers', () => {
  it('ranks hosts with more capacity first, and alternates between availability zones among equals', () => {
    const hosts = [
      named('a-1', 'a', 1),
      named('a-2', 'a', 1),
      named('b-1', 'b', 1),
      named('b-2', 'b', 4),
      named('c-1', 'c', 1),
    ];
    const ranked = rankPeers(hosts).map(({ host }) => host);
    expect(ranked).toEqual(['b-2', 'a-1', 'b-1', 'c-1', 'a-2']);
  });

  it('gives the same order on all hosts, in whichever order they have learned of the others', () => {
    fc.assert(
      fc.property(
        fc.uniqueArray(peer, { selector: ({ host }) => host }),
        fc.nat(),
        (hosts, offset) => {
          const rotated = [...hosts.slice(offset % (hosts.length + 1)), ...hosts].slice(
            0,
            hosts.length,
          );
          const all = new Map([...rotated, ...hosts].map((one) => [one.host, one]));
          expect(rankPeers([...all.values()])).toEqual(rankPeers(hosts));
        },
      ),
      { seed: 27 },
    );
  });
});
