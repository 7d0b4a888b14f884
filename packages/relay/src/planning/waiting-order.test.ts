import type { Clock, Milliseconds } from '@poppypond/core';
import { FleetView } from '@poppypond/fleet';
import { ENGINE_SERVICE, engineConfiguration, engineServer, ManualClock } from '@poppypond/mocks';
import { ActiveConfiguration } from '@poppypond/routing';
import { silentLog } from '@poppypond/telemetry';
import { describe, expect, it } from 'vitest';
import { ServerList } from '../store/server-list.js';
import type { PlanAnswer, PlanRequest } from './plan-request.js';
import { Planner } from './planner.js';
import { LeastServedFirst, HighestPriorityFirst } from './waiting-order.js';
import type { WaitingOrder } from './waiting-order.js';

const ENGINES = 18;
const TARGET_MS: Milliseconds = 4000;
const DECODE_MS: Milliseconds = 1500;
const SIMULATED_MS: Milliseconds = 40_000;
const STEP_MS: Milliseconds = 10;

/** A workspace that sends long prompts at a fixed interval. */
interface Sender {
  readonly workspace: string;
  readonly priority: number;
  readonly intervalMs: Milliseconds;
}

/**
 * Simulates senders against a planner; returns, per workspace, the share of prompts that started
 * within the target.
 */
async function simulateLoad(
  senders: readonly Sender[],
  orderFor: (clock: Clock) => WaitingOrder,
): Promise<ReadonlyMap<string, number>> {
  const clock = new ManualClock();
  const activeConfiguration = new ActiveConfiguration();
  activeConfiguration.apply(engineConfiguration());
  const servers = new ServerList(clock, silentLog);
  const ids = Array.from({ length: ENGINES }, (_unused, index) => `i-${String(index + 10)}`);
  servers.replace(ids.map(engineServer), 0, 1);
  const fleet = new FleetView();
  const order = orderFor(clock);
  const planner = new Planner({
    clock,
    activeConfiguration,
    servers,
    fleet,
    random: () => 0.5,
    order,
  });
  const sent = new Map<string, number>();
  const onTarget = new Map<string, number>();
  const count = (counts: Map<string, number>, workspace: string) => {
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
  };
  const send = ({ workspace, priority }: Sender, index: number) => {
    const attemptId = `${workspace}-${String(index)}`;
    const arrivedAtMs = clock.monotonicMs();
    const request: PlanRequest = {
      attemptId,
      requestId: attemptId,
      host: 'asker',
      service: ENGINE_SERVICE,
      workspace,
      priority,
      promptTokens: 260_000,
      answerTokens: 700,
      aimMs: TARGET_MS,
      gapAimMs: 1000,
      arrivedAtMs,
      callerSilentSinceMs: arrivedAtMs,
      deadlineAtMs: arrivedAtMs + 15_000,
      isRepeated: false,
      avoidedIds: [],
      excludedIds: [],
    };
    let isDecided = false;
    const onAnswer = (answer: PlanAnswer) => {
      isDecided ||= answer.kind !== 'wait';
      if (answer.kind !== 'place') return;
      const { expectedFirstMs } = answer.stream;
      const firstMs = clock.monotonicMs() - arrivedAtMs + expectedFirstMs;
      if (firstMs <= TARGET_MS) count(onTarget, workspace);
      clock.after(expectedFirstMs, () => {
        fleet.onPrefillDone(attemptId);
      });
      clock.after(expectedFirstMs + DECODE_MS, () => {
        fleet.end(attemptId);
      });
    };
    const ask = () => {
      if (isDecided) return;
      planner.submit(request, onAnswer);
      clock.after(300, ask);
    };
    ask();
  };
  for (let nowMs = 0; nowMs < SIMULATED_MS; nowMs += STEP_MS) {
    for (const sender of senders) {
      if (nowMs % sender.intervalMs !== 0) continue;
      count(sent, sender.workspace);
      send(sender, nowMs);
    }
    await clock.advance(STEP_MS);
  }
  return new Map([...sent].map(([name, all]) => [name, (onTarget.get(name) ?? 0) / all]));
}

function meanShare(shares: ReadonlyMap<string, number>, names: readonly string[]): number {
  return names.reduce((sum, name) => sum + (shares.get(name) ?? 0), 0) / names.length;
}

describe('WaitingOrder', () => {
  const others = ['barley', 'oats', 'rye'];
  const usual = others.map((workspace, index) => {
    return { workspace, priority: 1, intervalMs: 2000 + index * 110 };
  });
  const heavy = { workspace: 'wheat', priority: 1, intervalMs: 230 };

  it('makes the prompts of a workspace that sends too many wait behind those of the others', async () => {
    const senders = [heavy, ...usual];
    const byArrival = await simulateLoad(senders, () => new HighestPriorityFirst());
    const leastServed = await simulateLoad(senders, (clock) => new LeastServedFirst(clock));
    expect(meanShare(byArrival, others)).toBeCloseTo(0.64, 1);
    expect(meanShare(leastServed, others)).toBeGreaterThan(0.95);
    expect(leastServed.get('wheat')).toBeGreaterThan(0.45);
  });

  it('plans higher priorities first, whether set by the workspace or by the route', async () => {
    const urgent = { workspace: 'audit', priority: 0, intervalMs: 2300 };
    const shares = await simulateLoad([heavy, urgent], (clock) => new LeastServedFirst(clock));
    expect(shares.get('audit')).toBeGreaterThan(0.95);
    expect(shares.get('wheat')).toBeLessThan(0.8);
  });
});
