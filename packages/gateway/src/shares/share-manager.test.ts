import { FakeNetwork, ManualClock, MemoryRows, MemoryTable } from '@poppypond/mocks';
import type { CallOutcome } from '@poppypond/mocks';
import type { AppliedBudget } from '@poppypond/policy';
import { silentLog } from '@poppypond/telemetry';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ShareManager } from './share-manager.js';

const HOSTS = 4;
const BUDGET: AppliedBudget = {
  id: 'workspace/audit',
  budget: { unitsPerSecond: 1000, burstUnits: 20_000 },
};

function createFleet(pickOutcome: () => CallOutcome = () => 'ok') {
  const rows = new MemoryRows();
  const network = new FakeNetwork();
  const clock = new ManualClock();
  const managers = Array.from({ length: HOSTS }, (_, index) => {
    const owner = { host: `h${String(index)}`, incarnation: 'i' };
    const mesh = network.join(owner.host, owner.incarnation);
    const table = new MemoryTable(rows, pickOutcome);
    return new ShareManager(mesh, table, clock, owner, silentLog, { reclaimAfterMs: 75_000 });
  });
  const totalShare = () => managers.reduce((sum, manager) => sum + manager.shareOf(BUDGET.id), 0);
  return { rows, network, clock, managers, totalShare };
}

type TestFleet = ReturnType<typeof createFleet>;

/** Prepares and charges, and delivers messages while the manager waits for grants. */
async function prepareAndCharge(fleet: TestFleet, host: number, units: number): Promise<boolean> {
  const manager = fleet.managers[host];
  if (!manager) return false;
  const preparation = manager.prepare([BUDGET], units);
  for (let wait = 0; wait < 4; wait += 1) {
    await fleet.clock.advance(0);
    fleet.network.deliverAll();
    await fleet.clock.advance(45);
  }
  await preparation;
  return manager.budgets.charge([BUDGET], units, fleet.clock.monotonicMs()).isOk;
}

describe('ShareManager', () => {
  it('lets one host use more than 90% of the limit when it gets all the traffic', async () => {
    const fleet = createFleet();
    for (let host = 0; host < HOSTS; host += 1) await prepareAndCharge(fleet, host, 10);
    const startMs = fleet.clock.monotonicMs();
    let spent = 0;
    while (fleet.clock.monotonicMs() - startMs < 60_000) {
      if (await prepareAndCharge(fleet, 3, 500)) spent += 500;
      await fleet.clock.advance(100);
    }
    const elapsed = (fleet.clock.monotonicMs() - startMs) / 1000;
    expect(spent).toBeGreaterThan(0.9 * (BUDGET.budget.unitsPerSecond * elapsed));
  });

  it('collects the shares that one large request needs', async () => {
    const fleet = createFleet();
    for (let host = 0; host < HOSTS; host += 1) await prepareAndCharge(fleet, host, 10);
    await fleet.clock.advance(20_000);
    expect(await prepareAndCharge(fleet, 2, 15_000)).toBe(true);
  });

  it('loses nothing when a share is transferred again before its first transfer is recorded', async () => {
    const fleet = createFleet();
    for (const host of [0, 1, 2, 3]) await prepareAndCharge(fleet, host, 19_000);
    await fleet.clock.advance(30_000);
    expect(fleet.totalShare()).toBeGreaterThan(0.99);
    expect(await prepareAndCharge(fleet, 3, 19_000)).toBe(true);
  });

  it('never holds or spends more than the limit despite lost or repeated messages and table failures', async () => {
    const step = fc.record({
      kind: fc.constantFrom('spend', 'spend', 'spend', 'drop', 'repeat', 'wait'),
      host: fc.integer({ min: 0, max: HOSTS - 1 }),
      units: fc.integer({ min: 1, max: 20_000 }),
      elapseMs: fc.integer({ min: 0, max: 3000 }),
    });
    const outcome = fc.constantFrom<CallOutcome>('ok', 'ok', 'ok', 'down', 'lost');
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { maxLength: 40 }),
        fc.infiniteStream(outcome),
        async (steps, outcomes) => {
          const fleet = createFleet(() => outcomes.next().value);
          const startMs = fleet.clock.monotonicMs();
          let spent = 0;
          for (const { kind, host, units, elapseMs } of steps) {
            if (kind === 'spend' && (await prepareAndCharge(fleet, host, units))) spent += units;
            if (kind === 'drop') fleet.network.inFlight.shift();
            const [first] = fleet.network.inFlight;
            if (kind === 'repeat' && first) fleet.network.inFlight.push(first);
            await fleet.clock.advance(elapseMs);
            expect(fleet.totalShare()).toBeLessThanOrEqual(1 + 1e-9);
            const elapsed = (fleet.clock.monotonicMs() - startMs) / 1000;
            const allowed = BUDGET.budget.burstUnits + BUDGET.budget.unitsPerSecond * elapsed;
            expect(spent).toBeLessThanOrEqual(allowed + 1e-6);
          }
        },
      ),
      { seed: 31, numRuns: 1000 },
    );
  });
});
