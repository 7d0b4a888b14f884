import { FleetView, ServerLimits } from '@poppypond/fleet';
import { ENGINE_SERVICE, engineConfiguration, engineServer, ManualClock } from '@poppypond/mocks';
import { ActiveConfiguration } from '@poppypond/routing';
import { silentLog } from '@poppypond/telemetry';
import { describe, expect, it } from 'vitest';
import { ServerList } from '../store/server-list.js';
import type { PlanAnswer, PlanRequest } from './plan-request.js';
import { Planner } from './planner.js';

const PER_SECOND = 2;
const SHORT = 900;
const LONG = 300_000;

/** A planner before engines of which the first `naming` name a limit. */
function planner(engines: number, limitedCount: number) {
  const clock = new ManualClock();
  const activeConfiguration = new ActiveConfiguration();
  activeConfiguration.apply(engineConfiguration());
  const servers = new ServerList(clock, silentLog);
  const listed = Array.from({ length: engines }, (_unused, index) =>
    engineServer(`i-${String(index)}`),
  );
  servers.replace(listed, 0, 1);
  const limits = new ServerLimits();
  for (const server of listed.slice(0, limitedCount)) {
    limits.applyNotice(server, { kind: 'named', perSecond: PER_SECOND }, 0, 0);
  }
  const fleet = new FleetView();
  const subject = new Planner({
    clock,
    activeConfiguration,
    servers,
    fleet,
    random: () => 0.5,
    limits,
  });
  const answers = new Map<string, PlanAnswer>();
  const ask = (name: string, more: Partial<PlanRequest> = {}) => {
    const nowMs = clock.monotonicMs();
    const request: PlanRequest = {
      attemptId: name,
      requestId: name,
      host: 'asker',
      service: ENGINE_SERVICE,
      workspace: 'wheat',
      priority: 1,
      promptTokens: SHORT,
      answerTokens: 10,
      aimMs: 300,
      gapAimMs: 800,
      arrivedAtMs: nowMs,
      callerSilentSinceMs: nowMs,
      deadlineAtMs: nowMs + 15_000,
      isRepeated: false,
      avoidedIds: [],
      excludedIds: [],
      waitsForPermitUntilMs: nowMs + 150,
      ...more,
    };
    subject.submit(request, (answer) => answers.set(name, answer));
    return answers.get(name);
  };
  return { answers, ask, clock };
}

function writerOf(answer: PlanAnswer | undefined): string | undefined {
  return answer?.kind === 'place' ? answer.stream.writerId : undefined;
}

describe('Planner before servers that name limits', () => {
  it('goes on to the next engine in order when a place is used, and comes back with the next place', async () => {
    const { ask, clock } = planner(3, 1);
    ask('first');
    await clock.advance(500);
    expect(writerOf(ask('a'))).toBe('i-0');
    expect(writerOf(ask('b'))).toBe('i-1');
    await clock.advance(500);
    expect(writerOf(ask('c'))).toBe('i-0');
  });

  it('has engines with limits read no parts where others can', async () => {
    const { ask, clock } = planner(8, 4);
    ask('first');
    await clock.advance(2000);
    const answer = ask('long', { promptTokens: LONG, aimMs: 4000 });
    const used = answer?.kind === 'place' ? [writerOf(answer), ...answer.stream.readerIds] : [];
    expect(used.length).toBeGreaterThan(1);
    expect(used.filter((id) => ['i-0', 'i-1', 'i-2', 'i-3'].includes(id ?? ''))).toEqual([]);
  });

  it('has a prompt cost one place where all engines name limits, however long it is', async () => {
    const { ask, clock } = planner(4, 4);
    ask('first');
    await clock.advance(2000);
    const answer = ask('long', { promptTokens: LONG, aimMs: 4000 });
    expect(answer?.kind === 'place' && answer.stream.readerIds).toEqual([]);
  });

  it('gives the next place to the most urgent that wait, and refuses at once who would wait too long', async () => {
    const { answers, ask, clock } = planner(2, 2);
    ask('first');
    await clock.advance(400);
    expect(ask('usual')?.kind).toBe('wait');
    expect(ask('urgent', { priority: 0 })?.kind).toBe('wait');
    const late = ask('late', { priority: 2 });
    expect(late?.kind).toBe('refuse');
    expect(late?.kind === 'refuse' && late.retryAfterMs).toBeGreaterThan(100);
    await clock.advance(110);
    expect(answers.get('urgent')?.kind).toBe('place');
    expect(answers.get('usual')?.kind).toBe('place');
  });

  it('serves callers that were refused when they come back as told, before those who come then', async () => {
    const { answers, ask, clock } = planner(1, 1);
    ask('first');
    await clock.advance(500);
    expect(ask('a')?.kind).toBe('place');
    const refusedAtMs = clock.monotonicMs();
    const told = ['b', 'c'].map((name) => ask(name, { content: name }));
    const retryDelaysMs = told.map(
      (answer) => (answer?.kind === 'refuse' ? answer.retryAfterMs : 0) ?? 0,
    );
    for (const [index, name] of ['b', 'c'].entries()) {
      const waitMs = refusedAtMs + (retryDelaysMs[index] ?? 0) - clock.monotonicMs();
      await clock.advance(waitMs - 20);
      ask(`new-${name}`);
      await clock.advance(20);
      ask(`${name}-again`, { content: name });
      await clock.advance(150);
      expect(answers.get(`${name}-again`)?.kind).toBe('place');
    }
  });

  it('gives out places for calls, and counts orders that are sent anyway', async () => {
    const { ask, clock } = planner(2, 2);
    const withoutWaiting = { waitsForPermitUntilMs: undefined };
    const permit = (isSent: boolean) => ({
      ...withoutWaiting,
      permit: { serverIds: ['i-0'], isSent },
    });
    expect(ask('none', permit(false))?.kind).toBe('refuse');
    await clock.advance(500);
    expect(writerOf(ask('call', permit(false)))).toBe('i-0');
    ask('order', permit(true));
    await clock.advance(600);
    expect(ask('soon', permit(false))?.kind).toBe('refuse');
    await clock.advance(500);
    expect(ask('later', permit(false))?.kind).toBe('place');
  });
});
