import { FleetView, ServerLimits } from '@poppypond/fleet';
import { ENGINE_SERVICE, engineConfiguration, engineServer, ManualClock } from '@poppypond/mocks';
import { ActiveConfiguration } from '@poppypond/routing';
import { silentLog } from '@poppypond/telemetry';
import { describe, expect, it } from 'vitest';
import { ServerList } from '../store/server-list.js';
import type { PlanAnswer, PlanRequest } from './plan-request.js';
import { Planner } from './planner.js';

const PER_SECOND = 2;
const SHORT_PROMPT_TOKENS = 900;
const LONG_PROMPT_TOKENS = 300_000;

/** A planner with `engines` engines, of which the first `limitedCount` report a rate limit. */
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
      promptTokens: SHORT_PROMPT_TOKENS,
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

describe('Planner with servers that report rate limits', () => {
  it('uses the next engine in order once a permit is used, and the first engine again with its next permit', async () => {
    const { ask, clock } = planner(3, 1);
    ask('first');
    await clock.advance(500);
    expect(writerOf(ask('a'))).toBe('i-0');
    expect(writerOf(ask('b'))).toBe('i-1');
    await clock.advance(500);
    expect(writerOf(ask('c'))).toBe('i-0');
  });

  it('assigns no partial prefills to rate-limited engines if others can do them', async () => {
    const { ask, clock } = planner(8, 4);
    ask('first');
    await clock.advance(2000);
    const answer = ask('long', { promptTokens: LONG_PROMPT_TOKENS, aimMs: 4000 });
    const used = answer?.kind === 'place' ? [writerOf(answer), ...answer.stream.readerIds] : [];
    expect(used.length).toBeGreaterThan(1);
    expect(used.filter((id) => ['i-0', 'i-1', 'i-2', 'i-3'].includes(id ?? ''))).toEqual([]);
  });

  it('spends one permit on a prompt of any length if all engines report rate limits', async () => {
    const { ask, clock } = planner(4, 4);
    ask('first');
    await clock.advance(2000);
    const answer = ask('long', { promptTokens: LONG_PROMPT_TOKENS, aimMs: 4000 });
    expect(answer?.kind === 'place' && answer.stream.readerIds).toEqual([]);
  });

  it('grants the next permit to the highest priority that waits, and refuses at once a request that would wait too long', async () => {
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

  it('serves refused callers that retry when told to, before requests that arrive then', async () => {
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

  it('grants permits for calls, and counts reservation commands that are sent anyway', async () => {
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
