import { FleetView } from '@poppypond/fleet';
import { ENGINE_SERVICE, engineConfiguration, engineServer, ManualClock } from '@poppypond/mocks';
import { ActiveConfiguration } from '@poppypond/routing';
import { silentLog } from '@poppypond/telemetry';
import { describe, expect, it } from 'vitest';
import { ServerList } from '../store/server-list.js';
import type { PlanAnswer, PlanRequest } from './plan-request.js';
import { Planner } from './planner.js';

/** Returns numbers that are spread evenly over [0, 1). */
function evenlySpreadNumbers(): () => number {
  let previous = 0;
  return () => {
    previous = (previous + 0.381966) % 1;
    return previous;
  };
}

function long(requestId: string, more: Partial<PlanRequest> = {}): PlanRequest {
  return {
    attemptId: `attempt-${requestId}`,
    requestId,
    host: 'asker',
    service: ENGINE_SERVICE,
    workspace: 'wheat',
    priority: 1,
    promptTokens: 300_000,
    answerTokens: 1000,
    aimMs: 4000,
    gapAimMs: 800,
    arrivedAtMs: 0,
    callerSilentSinceMs: 0,
    deadlineAtMs: 15_000,
    isRepeated: false,
    avoidedIds: [],
    excludedIds: [],
    ...more,
  };
}

function planner(engines: number, random = () => 0.5) {
  const clock = new ManualClock();
  const activeConfiguration = new ActiveConfiguration();
  activeConfiguration.apply(engineConfiguration());
  const servers = new ServerList(clock, silentLog);
  const listed = Array.from({ length: engines }, (_unused, index) =>
    engineServer(`i-${String(index).padStart(3, '0')}`),
  );
  servers.replace(listed, 0, 1);
  const fleet = new FleetView();
  const subject = new Planner({ clock, activeConfiguration, servers, fleet, random });
  const answers: PlanAnswer[] = [];
  const ask = (request: PlanRequest) => {
    subject.submit(request, (answer) => {
      answers.push(answer);
    });
  };
  return { clock, fleet, subject, answers, ask };
}

function enginesOf(answer: PlanAnswer | undefined): readonly string[] {
  if (answer?.kind !== 'place') return [];
  return [answer.stream.writerId, ...answer.stream.readerIds];
}

describe('Planner', () => {
  it('places several long prompts at once on disjoint engines until no engine is left', () => {
    const { answers, ask } = planner(18);
    const ids = Array.from({ length: 12 }, (_unused, index) => `long-${String(index)}`);
    for (const id of ids) ask(long(id));
    const used = answers.flatMap(enginesOf);
    expect(new Set(used).size).toBe(used.length);
    expect(answers.slice(0, 2).map(({ kind }) => kind)).toEqual(['place', 'place']);
    expect(answers.at(-1)).toEqual({ kind: 'wait', rule: 'waits_for_engine' });
  });

  it('places a waiting request when a prefill has ended, and drops a withdrawn one', async () => {
    const { clock, fleet, subject, answers, ask } = planner(2);
    for (const id of ['a', 'b', 'c']) ask(long(id));
    expect(answers.map(({ kind }) => kind)).toEqual(['place', 'wait', 'wait']);
    subject.withdraw('attempt-b');
    fleet.onPrefillDone('attempt-a');
    await clock.advance(20);
    expect(answers.map(({ kind }) => kind)).toEqual(['place', 'wait', 'wait', 'place']);
    expect(subject.waitingCount).toBe(0);
    expect(fleet.attemptsOf('asker').map(({ attemptId }) => attemptId)).toEqual([
      'attempt-a',
      'attempt-c',
    ]);
  });

  it('plans waiting requests in limited rounds, so that many of them do not delay new requests', async () => {
    const { clock, fleet, subject, answers, ask } = planner(17);
    for (let index = 0; index < 60; index += 1) {
      ask(long(String(index), { promptTokens: 200_000 + index }));
    }
    const waiting = subject.waitingCount;
    expect(waiting).toBeGreaterThan(40);
    const decisionsPerRound: number[] = [];
    const load = fleet.load.bind(fleet);
    let loads = 0;
    fleet.load = (...inputs) => {
      loads += 1;
      return load(...inputs);
    };
    for (let round = 0; round < 6; round += 1) {
      loads = 0;
      await clock.advance(10);
      decisionsPerRound.push(loads / 17);
    }
    expect(Math.max(...decisionsPerRound)).toBeLessThanOrEqual(16);
    for (let round = 0; round < 60; round += 1) {
      for (const { attemptId } of fleet.attemptsOf('asker')) fleet.end(attemptId);
      for (let step = 0; step < 4; step += 1) await clock.advance(10);
    }
    expect(subject.waitingCount).toBe(0);
    expect(answers.filter(({ kind }) => kind === 'place')).toHaveLength(60);
  });

  it('places a resumed answer whose caller received an event recently, regardless of the age of the request', () => {
    const { answers, ask } = planner(18);
    ask(long('a', { arrivedAtMs: -60_000, callerSilentSinceMs: -1000 }));
    ask(long('b', { arrivedAtMs: -60_000, callerSilentSinceMs: -60_000 }));
    expect(answers.map(({ kind }) => kind)).toEqual(['place', 'refuse']);
  });

  it('counts engines as busy while a prefill takes longer than expected', async () => {
    const { clock, answers, ask } = planner(18);
    ask(long('a'));
    const [first] = answers;
    if (first?.kind !== 'place') throw new Error('not placed');
    await clock.advance(Math.ceil(first.stream.partMs * 1.3));
    ask(long('b'));
    const second = enginesOf(answers.at(-1));
    expect(second.length).toBeGreaterThan(0);
    for (const id of enginesOf(first)) expect(second).not.toContain(id);
  });

  it('plans a repeated request anew, and drops a waiting request that is not repeated', async () => {
    const { clock, fleet, subject, answers, ask } = planner(18);
    ask(long('a'));
    ask(long('a'));
    expect(answers.map(({ kind }) => kind)).toEqual(['place', 'place']);
    expect(fleet.size).toBe(1);
    ask(long('b'));
    for (let passedMs = 0; passedMs < 1100; passedMs += 10) await clock.advance(10);
    expect(subject.waitingCount).toBe(0);
  });

  it('spreads short prompts as a fallback planner, since other planners start with the first engines', () => {
    const { subject } = planner(18, evenlySpreadNumbers());
    const used = new Set<string>();
    for (let index = 0; index < 10; index += 1) {
      const request = { ...long(String(index)), promptTokens: 3000, aimMs: 300, gapAimMs: 200 };
      subject.submit(request, (answer) => used.add(enginesOf(answer)[0] ?? ''), true);
    }
    expect(used.size).toBeGreaterThan(4);
  });
});
