import { parseObjects } from '@poppypond/objects';
import type { ConfigObject } from '@poppypond/objects';
import { MemoryRows, MemoryTable, ScheduledClock, UncheckedRows } from '@poppypond/mocks';
import type { CallOutcome } from '@poppypond/mocks';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ConfigurationWriter, toObjectWrite } from './configuration-writer.js';
import { ConfigurationHolder } from './configuration-holder.js';
import { ConfigurationReader } from './configuration-reader.js';
import { readConfiguration } from './read-configuration.js';

function workspace(name: string, weight: number): ConfigObject {
  const parsed = parseObjects([{ kind: 'workspace', name, spec: { weight } }]);
  const [object] = parsed.isOk ? parsed.value : [];
  if (!object) throw new Error('the workspace is not valid');
  return object;
}

const IMMEDIATE_SCHEDULER = { schedule: <Value>(task: Promise<Value>) => task };

/**
 * Applies concurrent changes while responses are lost; checks the order of revisions and the
 * accepted changes.
 */
function concurrentChangesProperty(makeRows: () => MemoryRows) {
  const callOutcome = fc.constantFrom<CallOutcome>('ok', 'ok', 'ok', 'ok', 'lost', 'down');
  const change = fc.record({
    name: fc.constantFrom('a', 'b'),
    weight: fc.integer({ min: 1, max: 99 }),
    isSentTwice: fc.boolean(),
  });
  return fc.asyncProperty(
    fc.scheduler(),
    fc.array(change, { minLength: 1, maxLength: 5 }),
    fc.infiniteStream(callOutcome),
    async (scheduler, changes, callOutcomes) => {
      const rows = makeRows();
      const clock = new ScheduledClock(scheduler);
      const yieldAt = (label: string) => scheduler.schedule(Promise.resolve(), label);
      const table = new MemoryTable(rows, () => callOutcomes.next().value, yieldAt);
      const writer = new ConfigurationWriter(table, clock);
      const reader = new ConfigurationReader(new ConfigurationHolder(), table, clock);
      const seen: number[] = [];
      const accepted = new Map<string, number>();
      const apply = async (
        index: number,
        { name, weight, isSentTwice }: (typeof changes)[number],
      ) => {
        const changeId = `c${String(index)}`;
        const request = {
          operator: 'o',
          why: 'w',
          changeId,
          writes: [toObjectWrite(workspace(name, weight))],
        };
        for (let sends = isSentTwice ? 2 : 1; sends > 0; sends -= 1) {
          const result = await writer.apply(request);
          if (result.isErr) continue;
          const { revision } = result.value.audit;
          expect(accepted.get(changeId) ?? revision).toBe(revision);
          accepted.set(changeId, revision);
        }
      };
      const pollRepeatedly = async () => {
        for (let polls = 0; polls < 6; polls += 1) {
          await reader.poll();
          seen.push(reader.holder.current.revision);
        }
      };
      const all = [...changes.map((one, index) => apply(index, one)), pollRepeatedly()];
      await scheduler.waitFor(Promise.all(all));
      expect(seen).toEqual([...seen].sort((a, b) => a - b));
      expect(new Set(accepted.values()).size).toBe(accepted.size);
      const audits = [...rows.rows.keys()].filter((key) => key.startsWith('audit/'));
      const configuration = await readConfiguration(new MemoryTable(rows));
      expect(configuration.isOk && configuration.value.revision).toBe(audits.length);
      expect(audits.length).toBeGreaterThanOrEqual(accepted.size);
      expect(audits.length).toBeLessThanOrEqual(changes.length);
    },
  );
}

describe('ConfigurationWriter', () => {
  it('reports both revisions and the other operator if two operators change one object', async () => {
    const writer = new ConfigurationWriter(
      new MemoryTable(new MemoryRows()),
      new ScheduledClock(IMMEDIATE_SCHEDULER),
    );
    const create = { operator: 'ann', why: 'new', writes: [toObjectWrite(workspace('a', 1), 0)] };
    expect((await writer.apply(create)).isOk).toBe(true);
    const byBen = { operator: 'ben', why: 'more', writes: [toObjectWrite(workspace('a', 2), 1)] };
    expect((await writer.apply(byBen)).isOk).toBe(true);
    const stale = { operator: 'cal', why: 'less', writes: [toObjectWrite(workspace('a', 3), 1)] };
    const result = await writer.apply(stale);
    expect(result.isErr && result.error).toMatchObject({ code: 'conflict', path: 'workspace/a' });
    expect(result.isErr && result.error.detail).toMatch(/revision 1.*at 2.*ben/);
  });

  it('accepts each change once and in one order if responses are lost; readers never go back', async () => {
    await fc.assert(
      concurrentChangesProperty(() => new MemoryRows()),
      { seed: 23, numRuns: 1000 },
    );
  });

  it('violates the property if the store ignores version checks', async () => {
    const checked = await fc.check(
      concurrentChangesProperty(() => new UncheckedRows()),
      { seed: 23 },
    );
    expect(checked.failed).toBe(true);
  });
});

describe('ConfigurationHolder', () => {
  it('reports a gap, and never goes back to an older revision', () => {
    const holder = new ConfigurationHolder();
    const change = (revision: number) => ({
      id: 'workspace/a',
      revision,
      after: workspace('a', revision),
    });
    expect(holder.advance(0, [change(1), change(2)])).toBe('advanced');
    expect(holder.advance(3, [change(4)])).toBe('gap');
    expect(holder.advance(0, [change(1)])).toBe('old');
    expect(holder.current.revision).toBe(2);
  });
});
