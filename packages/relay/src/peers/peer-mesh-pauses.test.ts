import { ENGINE_SERVICE } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { MeshNetwork } from './mocks/mesh-network.js';

const PORTS = [1, 2, 3, 4];

describe('PeerMesh after its process was suspended', () => {
  it('does not plan with outdated state, queries peers at once, and plans again after hearing from them for a while', async () => {
    const network = new MeshNetwork();
    for (const port of PORTS) network.start(port, PORTS);
    await network.run(3000);
    const first = network.hosts.get(1);
    const plannersOf = () => first?.mesh.plannersOf(ENGINE_SERVICE) ?? [];
    expect(plannersOf()[0]).toBe('host-1');
    network.clock.skip(6000);
    first?.mesh.onPause();
    expect(plannersOf()).toEqual([]);
    expect(
      network.sent.some(({ from, message }) => from === 'host-1' && message.kind === 'beat'),
    ).toBe(true);
    await network.run(50);
    expect(plannersOf()).not.toContain('host-1');
    expect(plannersOf()).toHaveLength(2);
    await network.run(2000);
    expect(plannersOf()[0]).toBe('host-1');
  });

  it('plans if it has no peers', async () => {
    const network = new MeshNetwork();
    const only = network.start(1, []);
    await network.run(3000);
    only.mesh.onPause();
    expect(only.mesh.plannersOf(ENGINE_SERVICE)).toEqual(['host-1']);
  });

  it('counts itself as isolated and plans if no peer answers for half a second', async () => {
    const network = new MeshNetwork();
    for (const port of [1, 2]) network.start(port, [1, 2]);
    await network.run(3000);
    network.lost = () => true;
    network.clock.skip(6000);
    const first = network.hosts.get(1);
    first?.mesh.onPause();
    expect(first?.mesh.plannersOf(ENGINE_SERVICE)).toEqual([]);
    await network.run(600);
    expect(first?.mesh.plannersOf(ENGINE_SERVICE)).toEqual(['host-1']);
  });
});
