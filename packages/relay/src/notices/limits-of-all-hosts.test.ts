import { randomId } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import { ServerBackoffs } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import { ENGINE_SERVICE, engineServer } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { MeshNetwork } from '../peers/mocks/mesh-network.js';
import type { Host } from '../peers/mocks/mesh-network.js';
import type { PlanRequest } from '../planning/plan-request.js';
import { SendGate } from './send-gate.js';

const STEP_MS: Milliseconds = 5;
const ENGINES = 4;
const PER_SECOND = 2;
const WINDOW_MS: Milliseconds = 4000;
/** What the limit names in the window; a place that was saved up and one that comes in meanwhile are allowed for. */
const EXPECTED_MAX = (PER_SECOND * WINDOW_MS) / 1000 + 2;
/** The most that a server may get while hosts fail, which nobody can know at once. */
const FAILURE_MAX = (1.5 * PER_SECOND * WINDOW_MS) / 1000 + 5;
const SETTLING_MS: Milliseconds = 4000;
const ANSWER_MS: Milliseconds = 50;
const DEMAND_PER_SECOND = 40;
const AIM_MS: Milliseconds = 300;

/** A request as a host asks for its plan; ends when its caller would be refused. */
function requestOf(host: string, nowMs: Milliseconds): PlanRequest {
  const attemptId = randomId();
  return {
    attemptId,
    requestId: attemptId,
    host,
    service: ENGINE_SERVICE,
    workspace: 'wheat',
    priority: 1,
    promptTokens: 900,
    answerTokens: 10,
    aimMs: AIM_MS,
    gapAimMs: 200,
    arrivedAtMs: nowMs,
    callerSilentSinceMs: nowMs,
    deadlineAtMs: nowMs + 4000,
    isRepeated: false,
    avoidedIds: [],
    excludedIds: [],
    waitsForPermitUntilMs: nowMs + AIM_MS / 2,
  };
}

/** Hosts before four engines that all name the same limit, with callers at hosts by turns. */
class RateLimitedFleet {
  readonly network = new MeshNetwork();
  readonly engines = Array.from({ length: ENGINES }, (_unused, index) =>
    engineServer(`i-${String(index)}`),
  );
  readonly arrivals: { readonly engine: string; readonly atMs: Milliseconds }[] = [];
  readonly #ports: readonly number[];
  readonly #gates = new Map<Host, SendGate>();
  #turn = 0;

  constructor(hosts: number) {
    this.network.zones = 3;
    this.network.servers = this.engines;
    this.#ports = Array.from({ length: hosts }, (_unused, index) => index + 1);
  }

  get nowMs(): Milliseconds {
    return this.network.clock.monotonicMs();
  }

  async start(): Promise<void> {
    for (const port of this.#ports) this.network.start(port, this.#ports);
    await this.network.run(SETTLING_MS);
  }

  /** Lets callers come for a while; `from` tells when what they cause counts. */
  async runTraffic(forMs: Milliseconds): Promise<void> {
    const untilMs = this.nowMs + forMs;
    let owed = 0;
    while (this.nowMs < untilMs) {
      owed += (DEMAND_PER_SECOND * STEP_MS) / 1000;
      for (; owed >= 1; owed -= 1) void this.#sendRequest();
      await this.network.run(STEP_MS, STEP_MS);
    }
  }

  /** The most that an engine got in any 4 s from `fromMs` on. */
  mostInWindow(fromMs: Milliseconds): number {
    const counts = this.engines.flatMap(({ id }) => {
      const atMs = this.arrivals.filter(({ engine }) => engine === id).map((one) => one.atMs);
      const counted = atMs.filter((each) => each >= fromMs);
      return counted.map(
        (from) => counted.filter((at) => at >= from && at < from + WINDOW_MS).length,
      );
    });
    return Math.max(0, ...counts);
  }

  /** What was sent from `fromMs` on, of what the limits allow. */
  usedShare(fromMs: Milliseconds): number {
    const allowed = (ENGINES * PER_SECOND * (this.nowMs - fromMs)) / 1000;
    return this.arrivals.filter(({ atMs }) => atMs >= fromMs).length / allowed;
  }

  async #sendRequest(): Promise<void> {
    const hosts = [...this.network.hosts.values()];
    this.#turn += 1;
    const host = hosts[this.#turn % hosts.length];
    if (!host) return;
    const { clock, placement, mesh } = host;
    const request = requestOf(mesh.parts.self.host, clock.monotonicMs());
    const placed = await placement.place(request, () => clock.monotonicMs() > request.deadlineAtMs);
    const writerId = placed.kind === 'place' ? placed.stream.writerId : undefined;
    const server = this.engines.find(({ id }) => id === writerId);
    if (placed.kind !== 'place' || !server) return;
    const { attemptId } = request;
    const permit = { serverIds: placed.stream.permittedIds, grantedAtMs: clock.monotonicMs() };
    const block = this.#gateOf(host).admitAttempt({ attemptId, server, readers: [], permit });
    if (!block) this.#recordArrival(host, server, attemptId);
  }

  #recordArrival({ clock, mesh, notices }: Host, server: BackendServer, attemptId: string): void {
    this.arrivals.push({ engine: server.id, atMs: this.nowMs });
    const askedAtMs = clock.monotonicMs();
    this.network.clock.after(ANSWER_MS, () => {
      const limit = { kind: 'named', perSecond: PER_SECOND } as const;
      notices.recordNotice(server, { isLeaving: false, backoffMs: undefined, limit }, askedAtMs);
      mesh.end(attemptId, ENGINE_SERVICE);
    });
  }

  #gateOf(host: Host): SendGate {
    const known = this.#gates.get(host);
    if (known) return known;
    const draw = () => 0.5;
    const { clock, limits, list: servers } = host;
    const gate = new SendGate({
      clock,
      servers,
      limits,
      rests: new ServerBackoffs(draw),
      random: draw,
    });
    this.#gates.set(host, gate);
    return gate;
  }
}

async function startFleet(hosts: number): Promise<RateLimitedFleet> {
  const fleet = new RateLimitedFleet(hosts);
  await fleet.start();
  await fleet.runTraffic(1000);
  return fleet;
}

describe('limits that servers name for all hosts together', () => {
  it.each([1, 8, 60, 330])('are used and kept by %i hosts', async (hosts) => {
    const fleet = await startFleet(hosts);
    const fromMs = fleet.nowMs;
    await fleet.runTraffic(8000);
    expect(fleet.mostInWindow(fromMs)).toBeLessThanOrEqual(EXPECTED_MAX);
    expect(fleet.usedShare(fromMs)).toBeGreaterThan(0.9);
  });

  it('are kept as the host that gives out their places dies, and used again soon', async () => {
    const fleet = await startFleet(8);
    const fromMs = fleet.nowMs;
    await fleet.runTraffic(3000);
    const [, first] = [...fleet.network.hosts.values()];
    const planner = first?.mesh.plannersOf(ENGINE_SERVICE)[0] ?? '';
    fleet.network.hosts.delete(Number(planner.replace('host-', '')));
    fleet.network.lost = ({ host }) => host === planner;
    await fleet.runTraffic(5000);
    const laterMs = fleet.nowMs;
    await fleet.runTraffic(5000);
    expect(fleet.mostInWindow(fromMs)).toBeLessThanOrEqual(FAILURE_MAX);
    expect(fleet.usedShare(laterMs)).toBeGreaterThan(0.8);
  });

  it('are kept by halves that are cut apart, and used in both', async () => {
    const fleet = await startFleet(8);
    const fromMs = fleet.nowMs;
    const sideOf = (host: string) => Number(host.replace('host-', '')) % 2;
    fleet.network.lost = ({ host }, to) => sideOf(host) !== sideOf(to);
    await fleet.runTraffic(12_000);
    expect(fleet.mostInWindow(fromMs)).toBeLessThanOrEqual(FAILURE_MAX);
    expect(fleet.mostInWindow(fromMs + 4000)).toBeLessThanOrEqual(EXPECTED_MAX);
    expect(fleet.usedShare(fromMs + 4000)).toBeGreaterThan(0.8);
    fleet.network.lost = () => false;
    const healedMs = fleet.nowMs;
    await fleet.runTraffic(8000);
    expect(fleet.mostInWindow(healedMs)).toBeLessThanOrEqual(FAILURE_MAX);
    expect(fleet.usedShare(healedMs + 3000)).toBeGreaterThan(0.9);
  });

  it('are kept where a fifth of the messages between hosts are lost', async () => {
    const fleet = await startFleet(8);
    const fromMs = fleet.nowMs;
    let sent = 0;
    fleet.network.lost = () => {
      sent += 1;
      return sent % 5 === 0;
    };
    await fleet.runTraffic(12_000);
    expect(fleet.mostInWindow(fromMs)).toBeLessThanOrEqual(FAILURE_MAX);
    expect(fleet.usedShare(fromMs)).toBeGreaterThan(0.5);
  });
});
