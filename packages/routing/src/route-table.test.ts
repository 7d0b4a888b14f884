import { ManualClock } from '@poppypond/mocks';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ActiveConfiguration } from './active-configuration.js';
import type { Route, RoutingConfiguration } from './configuration.js';
import { Freshness } from './freshness.js';
import { chooseService, requestPriority, RouteTable } from './route-table.js';

function route(name: string, pathPrefix: string, more: Partial<Route> = {}): Route {
  return {
    name,
    hostName: 'a.example',
    pathPrefix,
    kind: 'safe',
    isResumable: false,
    targets: [{ service: name, weight: 1 }],
    maxAttempts: 1,
    timeoutMs: 1000,
    aimMs: 100,
    gapAimMs: 100,
    priority: 1,
    isAuthExempt: false,
    ...more,
  };
}

function configuration(version: number, routes: readonly Route[]): RoutingConfiguration {
  return {
    version,
    routes,
    services: [],
    requiresKeys: true,
    workspaces: [{ name: 'wheat', keys: ['k'], priority: undefined }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}

describe('RouteTable', () => {
  const table = new RouteTable(
    configuration(1, [route('top', '/'), route('a', '/a/'), route('ab', '/a/b/')]),
  );

  it('matches the longest prefix of whole path segments and ignores the query', () => {
    expect(table.match('a.example', '/a/b/c?x=/')?.name).toBe('ab');
    expect(table.match('A.example', '/a/bc')?.name).toBe('a');
    expect(table.match('a.example', '/ab/')?.name).toBe('top');
    expect(table.match('a.example', '/?q=/a/')?.name).toBe('top');
    expect(table.match('b.example', '/a/')).toBeUndefined();
  });

  it('knows the services whose routes differ in priority, whatever the priorities of workspaces', () => {
    const target = { targets: [{ service: 'engines', weight: 1 }] };
    const tableOf = (
      routes: readonly Route[],
      priorities: readonly (number | undefined)[],
    ): RouteTable => {
      const workspaces = priorities.map((priority, index) => {
        return { name: String(index), keys: [String(index)], priority };
      });
      return new RouteTable({ ...configuration(1, routes), workspaces });
    };
    const equal = [route('a', '/a/', target), route('b', '/b/', target)];
    const urgent = route('c', '/c/', { ...target, priority: 0 });
    expect(tableOf(equal, [undefined, 1]).hasDifferentPriorities('engines')).toBe(false);
    expect(tableOf(equal, [undefined, 3]).hasDifferentPriorities('engines')).toBe(false);
    expect(tableOf([...equal, urgent], []).hasDifferentPriorities('engines')).toBe(true);
    expect(tableOf([...equal, urgent], [2, 2]).hasDifferentPriorities('engines')).toBe(true);
    const other = route('d', '/d/', { priority: 0 });
    expect(tableOf([...equal, other], []).hasDifferentPriorities('engines')).toBe(false);
  });

  it('orders requests by the priority of their workspace, then of their route', () => {
    const [urgent, usual] = [0, 2].map((priority) => route('a', '/a/', { priority }));
    if (!urgent || !usual) throw new Error('no routes');
    const inOrder = [
      requestPriority(urgent, { priority: 0 }),
      requestPriority(usual, { priority: 0 }),
      requestPriority(urgent, { priority: 1 }),
      requestPriority(usual, { priority: 1 }),
      requestPriority(usual, undefined),
    ];
    expect([...inOrder].sort((one, other) => one - other)).toEqual(inOrder);
    expect(requestPriority(urgent, undefined)).toBe(requestPriority(urgent, { priority: 0 }));
  });

  it('splits traffic by weight', () => {
    const targets = [
      { service: 'x', weight: 90 },
      { service: 'y', weight: 10 },
    ];
    const split = route('s', '/', { targets });
    expect([0, 0.89, 0.9, 0.999].map((random) => chooseService(split, random))).toEqual([
      'x',
      'x',
      'y',
      'y',
    ]);
    const closed = route('s', '/', {
      targets: [
        { service: 'x', weight: 0 },
        { service: 'y', weight: 1 },
      ],
    });
    expect(chooseService(closed, 0)).toBe('y');
  });

  it('finds the workspace of a key', () => {
    expect(table.workspaceOf('k')?.name).toBe('wheat');
    expect(table.workspaceOf('other')).toBeUndefined();
  });
});

describe('ActiveConfiguration', () => {
  it('never goes back to an older version, in whatever order versions arrive', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(50)), (versions) => {
        const active = new ActiveConfiguration();
        let highest = 0;
        for (const version of versions) {
          active.apply(configuration(version, []));
          highest = Math.max(highest, version);
          expect(active.version).toBe(highest);
        }
      }),
    );
  });
});

/**
 * A step of a simulation: the store changes, is queried or answers, perhaps late, or time passes,
 * as in a process pause.
 */
type Step =
  | { readonly kind: 'change' }
  | { readonly kind: 'ask' }
  | { readonly kind: 'answer' }
  | { readonly kind: 'pass'; readonly ms: number };

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.constant<Step>({ kind: 'change' }),
  fc.constant<Step>({ kind: 'ask' }),
  fc.constant<Step>({ kind: 'answer' }),
  fc.integer({ min: 1, max: 4000 }).map((ms): Step => ({ kind: 'pass', ms })),
);

const TRUSTED_MS = 5000;

/**
 * Simulates the steps; returns true if a key was trusted for longer than `TRUSTED_MS` after its
 * removal.
 */
function keyOutlivesRemoval(
  steps: readonly Step[],
  confirmationTime: (askedAtMs: number, nowMs: number) => number,
) {
  const clock = new ManualClock();
  const freshness = new Freshness(clock);
  let storeVersion = 1;
  let known = 0;
  const changedAt = new Map<number, number>();
  let query: { readonly askedAtMs: number; readonly answered: number } | undefined;
  for (const step of steps) {
    const nowMs = clock.monotonicMs();
    if (step.kind === 'pass') clock.skip(step.ms);
    if (step.kind === 'change') changedAt.set((storeVersion += 1), nowMs);
    if (step.kind === 'ask') query ??= { askedAtMs: nowMs, answered: storeVersion };
    if (step.kind === 'answer' && query) {
      known = Math.max(known, query.answered);
      freshness.confirm(confirmationTime(query.askedAtMs, nowMs));
      query = undefined;
    }
    const nextChangeMs = changedAt.get(known + 1) ?? Number.POSITIVE_INFINITY;
    const isTrusted = freshness.ageMs() < TRUSTED_MS;
    if (isTrusted && clock.monotonicMs() > nextChangeMs + TRUSTED_MS) return true;
  }
  return false;
}

describe('Freshness', () => {
  it('trusts no removed key for longer than allowed, however late answers arrive', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 60 }), (steps) => {
        expect(keyOutlivesRemoval(steps, (askedAtMs) => askedAtMs)).toBe(false);
      }),
      { numRuns: 1000, seed: 7 },
    );
  });

  it('trusts a removed key for too long if answers are dated by their arrival (injected fault)', () => {
    const found = fc.check(
      fc.property(
        fc.array(stepArbitrary, { maxLength: 60 }),
        (steps) => !keyOutlivesRemoval(steps, (_askedAtMs, nowMs) => nowMs),
      ),
      { numRuns: 1000, seed: 7 },
    );
    expect(found.failed).toBe(true);
  });
});
