import type { Milliseconds } from '@poppypond/core';
import { FleetView } from '@poppypond/fleet';
import { ManualClock } from '@poppypond/mocks';
import { ActiveConfiguration } from '@poppypond/routing';
import { createLog, silentLog } from '@poppypond/telemetry';
import { describe, expect, it } from 'vitest';
import { ServerList } from '../store/server-list.js';
import { PlacementClient } from './placement-client.js';
import type { PlanAnswer, PlanRequest } from './plan-request.js';
import { Planner } from './planner.js';

const random = () => 0.5;
const REQUEST: PlanRequest = {
  attemptId: 'a',
  requestId: 'r',
  host: 'self',
  service: 'engines',
  workspace: 'wheat',
  priority: 1,
  promptTokens: 5000,
  answerTokens: 1000,
  aimMs: 300,
  gapAimMs: 200,
  arrivedAtMs: 0,
  callerSilentSinceMs: 0,
  deadlineAtMs: 10_000,
  isRepeated: false,
  avoidedIds: [],
  excludedIds: [],
};
const PLACE: PlanAnswer = {
  kind: 'place',
  stream: {
    rule: 'packed',
    writerId: 'i-1',
    readerIds: [],
    partMs: 20,
    shares: [],
    expectedFirstMs: 60,
    writersBefore: 0,
    readingBeforeMs: 0,
    permittedIds: [],
  },
};

/** A host that asks for plans, and the requests that its peers receive. */
function askingHost(planners: readonly string[]) {
  const clock = new ManualClock();
  const askedPlanners: string[] = [];
  const withdrawn: string[] = [];
  const lines: string[] = [];
  const activeConfiguration = new ActiveConfiguration();
  const servers = new ServerList(clock, silentLog);
  const fleet = new FleetView();
  const placement = new PlacementClient({
    clock,
    log: createLog({}, 'info', (line) => lines.push(line)),
    host: 'self',
    peers: {
      plannersOf: () => planners,
      askPlan: (planner) => {
        askedPlanners.push(planner);
      },
      withdrawPlan: (planner) => {
        withdrawn.push(planner);
      },
    },
    planner: new Planner({ clock, activeConfiguration, servers, fleet, random }),
  });
  return { clock, askedPlanners, withdrawn, lines, placement };
}

describe('PlacementClient', () => {
  it('uses the answer of the first planner', async () => {
    const { askedPlanners, placement } = askingHost(['p1', 'p2']);
    const placed = placement.place(REQUEST, () => false);
    placement.onPlanAnswer('other', { kind: 'refuse', rule: 'no_engine' }, 'p1');
    placement.onPlanAnswer('a', PLACE, 'p1');
    expect(await placed).toMatchObject({ kind: 'place', planner: 'p1' });
    expect(askedPlanners).toEqual(['p1']);
  });

  it('asks the next planner if the first is silent, skips the silent one for a while, and finally plans itself', async () => {
    const { clock, askedPlanners, placement } = askingHost(['p1', 'p2']);
    const placed = placement.place(REQUEST, () => false);
    await clock.advance(100);
    // This host has no configuration, so its own plan is a refusal.
    expect(await placed).toMatchObject({ kind: 'refuse', planner: 'self' });
    expect(askedPlanners).toEqual(['p1', 'p2']);
    void placement.place(REQUEST, () => false);
    await clock.advance(1000);
    void placement.place({ ...REQUEST, attemptId: 'b' }, () => false);
    expect(askedPlanners).toEqual(['p1', 'p2', 'p1']);
  });

  it('asks a planner again whose answer comes late, unless it is late again within a second', async () => {
    const { clock, askedPlanners, placement } = askingHost(['p1', 'p2']);
    void placement.place(REQUEST, () => false);
    await clock.advance(50);
    placement.onPlanAnswer('a', PLACE, 'p1');
    void placement.place({ ...REQUEST, attemptId: 'b' }, () => false);
    expect(askedPlanners).toEqual(['p1', 'p2', 'p1']);
    await clock.advance(50);
    placement.onPlanAnswer('b', PLACE, 'p1');
    void placement.place({ ...REQUEST, attemptId: 'c' }, () => false);
    expect(askedPlanners).toEqual(['p1', 'p2', 'p1', 'p2', 'p2']);
  });

  it('repeats a waiting request, and withdraws it when the caller has disconnected', async () => {
    const { clock, askedPlanners, withdrawn, placement } = askingHost(['p1']);
    let isOver = false;
    const placed = placement.place(REQUEST, () => isOver);
    placement.onPlanAnswer('a', { kind: 'wait', rule: 'waits_for_engine' }, 'p1');
    const waitedMs: Milliseconds = 320;
    for (let passedMs = 0; passedMs < waitedMs; passedMs += 10) await clock.advance(10);
    expect(askedPlanners).toEqual(['p1', 'p1']);
    placement.onPlanAnswer('a', { kind: 'wait', rule: 'waits_for_engine' }, 'p1');
    isOver = true;
    await clock.advance(60);
    expect(await placed).toEqual({ kind: 'over' });
    expect(withdrawn).toEqual(['p1']);
  });

  it('withdraws the request from planners that it asked before another one placed the stream', async () => {
    const { clock, withdrawn, placement } = askingHost(['p1', 'p2']);
    const placed = placement.place(REQUEST, () => false);
    await clock.advance(60);
    placement.onPlanAnswer('a', PLACE, 'p2');
    expect(await placed).toMatchObject({ kind: 'place', planner: 'p2' });
    expect(withdrawn).toEqual(['p1']);
  });

  it('logs one line when a request starts to wait, and one at each change of reason', async () => {
    const { clock, lines, placement } = askingHost(['p1']);
    const placed = placement.place(REQUEST, () => false);
    for (const rule of ['waits_for_engine', 'waits_for_engine', 'waits_for_slack'] as const) {
      placement.onPlanAnswer('a', { kind: 'wait', rule }, 'p1');
      for (let passedMs = 0; passedMs < 310; passedMs += 10) await clock.advance(10);
    }
    placement.onPlanAnswer('a', PLACE, 'p1');
    await placed;
    const waiting = lines.filter((line) => line.includes('event=waiting'));
    expect(waiting).toHaveLength(2);
    expect(waiting[0]).toContain('rule=waits_for_engine');
    expect(waiting[0]).toContain('left_ms=');
    expect(waiting[1]).toContain('rule=waits_for_slack');
  });
});
