import { engineServer } from '@poppypond/mocks';
import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import { MAX_BACKOFF_MS, ServerBackoffs } from './server-backoffs.js';

const SERVER = engineServer('i-1');
const noJitter = () => 0;

describe('ServerBackoffs', () => {
  it('sends nothing until the latest of the requested backoffs has ended', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(
          fastCheck.record({
            afterMs: fastCheck.nat(5000),
            forMs: fastCheck.integer({ min: 1, max: 20_000 }),
          }),
          { minLength: 1 },
        ),
        fastCheck.nat(30_000),
        (requestedBackoffs, checkAfterMs) => {
          const rests = new ServerBackoffs(noJitter);
          let nowMs = 0;
          let untilMs = 0;
          for (const { afterMs, forMs } of requestedBackoffs) {
            nowMs += afterMs;
            rests.begin(SERVER, forMs, nowMs);
            untilMs = Math.max(untilMs, nowMs + forMs);
          }
          const atMs = nowMs + checkAfterMs;
          expect(rests.canSend(SERVER, atMs)).toBe(atMs >= untilMs);
        },
      ),
    );
  });

  it('applies to one incarnation of one server', () => {
    const rests = new ServerBackoffs(noJitter);
    rests.begin(SERVER, 3000, 0);
    expect(rests.canSend(engineServer('i-2'), 10)).toBe(true);
    expect(rests.canSend({ ...SERVER, startedAtMs: 5 }, 10)).toBe(true);
    expect(rests.canSend(SERVER, 10)).toBe(false);
  });

  it('ramps up: each answer doubles the number of concurrent requests', () => {
    const rests = new ServerBackoffs(noJitter);
    rests.begin(SERVER, 3000, 0);
    const sendAll = (round: number) => {
      const sent: string[] = [];
      while (sent.length < 100 && rests.canSend(SERVER, 3000)) {
        const id = `${String(round)}-${String(sent.length)}`;
        rests.onSent(SERVER, id, 3000);
        sent.push(id);
      }
      return sent;
    };
    const counts: number[] = [];
    for (let round = 0; round < 4; round += 1) {
      const sent = sendAll(round);
      counts.push(sent.length);
      for (const id of sent) rests.onAnswered(SERVER, id);
    }
    expect(counts).toEqual([1, 2, 8, 100]);
  });

  it('starts at one again after another backoff, and stops counting attempts that end without an answer', () => {
    const rests = new ServerBackoffs(noJitter);
    rests.begin(SERVER, 1000, 0);
    rests.onSent(SERVER, 'a', 1000);
    expect(rests.canSend(SERVER, 1000)).toBe(false);
    rests.onAttemptEnd(SERVER, 'a');
    expect(rests.canSend(SERVER, 1000)).toBe(true);
    rests.onSent(SERVER, 'b', 1000);
    rests.onAnswered(SERVER, 'b');
    rests.begin(SERVER, 1000, 2000);
    rests.onSent(SERVER, 'c', 3000);
    expect(rests.canSend(SERVER, 3000)).toBe(false);
  });

  it('allows two reservation commands during a backoff, and reports each backoff once', () => {
    const rests = new ServerBackoffs(noJitter);
    expect(rests.begin(SERVER, 3000, 0).isNew).toBe(true);
    expect(rests.begin(SERVER, 3000, 100).isNew).toBe(false);
    expect([1, 2, 3].map(() => rests.tryReservationCommand(SERVER, 200))).toEqual([
      true,
      true,
      false,
    ]);
    expect(rests.tryReservationCommand(SERVER, 3100)).toBe(true);
  });

  it('caps a backoff that is far too long, and drops old ones', () => {
    const rests = new ServerBackoffs(noJitter);
    rests.begin(SERVER, 1e12, 0);
    expect(rests.leftMs(SERVER, 0)).toBe(MAX_BACKOFF_MS);
    rests.begin(engineServer('i-2'), 100, MAX_BACKOFF_MS + 60_001);
    expect(rests.size).toBe(1);
  });
});
