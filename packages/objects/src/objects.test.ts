import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Configuration } from './configuration.js';
import type { ConfigObject } from './kinds.js';
import { objectId } from './kinds.js';
import { resolveTraffic } from './resolve.js';
import { isUnsatisfiable, matchesSelector, parseSelector, formatSelector } from './selector.js';
import type { Selector } from './selector.js';
import { parseObjects } from './validate.js';

const key = fc.constantFrom('a', 'b', 'c');
const value = fc.constantFrom('1', '2', '3');
const term = fc.oneof(
  fc.record({ key, operator: fc.constant('equals' as const), value }),
  fc.record({
    key,
    operator: fc.constantFrom('in' as const, 'not-in' as const),
    values: fc.uniqueArray(value, { minLength: 1 }),
  }),
  fc.record({ key, operator: fc.constantFrom('exists' as const, 'not-exists' as const) }),
);
const selector: fc.Arbitrary<Selector> = fc.array(term, { maxLength: 4 });

function configurationOf(values: readonly unknown[]): Configuration {
  const parsed = parseObjects(values);
  if (parsed.isErr) throw new Error(JSON.stringify(parsed.error));
  const change = (after: ConfigObject, index: number) => ({
    id: objectId(after),
    revision: index + 1,
    after,
  });
  return Configuration.empty.advance(parsed.value.map(change));
}

describe('selectors', () => {
  it('are parsed back to the value that they were formatted from', () => {
    fc.assert(
      fc.property(selector, (generated) => {
        expect(parseSelector(formatSelector(generated))).toEqual(generated);
      }),
      { seed: 41 },
    );
  });

  it('are reported as unsatisfiable only if no labels match them', () => {
    const optionalValue = fc.option(value, { nil: undefined });
    fc.assert(
      fc.property(selector, optionalValue, optionalValue, optionalValue, (generated, a, b, c) => {
        const labels = Object.fromEntries(
          Object.entries({ a, b, c }).flatMap(([name, labelValue]) =>
            labelValue === undefined ? [] : [[name, labelValue]],
          ),
        );
        if (matchesSelector(generated, labels)) expect(isUnsatisfiable(generated)).toBe(false);
      }),
      { seed: 42, numRuns: 2000 },
    );
  });
});

describe('resolveTraffic', () => {
  const rule = (name: string, precedence: number, terms: number) => ({
    kind: 'rule',
    name,
    spec: {
      precedence,
      traffic: Array.from({ length: terms }, () => ({ key: 'model', operator: 'exists' })),
      pools: [],
    },
  });

  it('selects the rule with higher precedence, then with more terms, then by name', () => {
    const labels = { model: 'm' };
    const pick = (rules: readonly unknown[]) =>
      resolveTraffic(configurationOf(rules), { labels, promptTokens: 1 })?.rule.object.name;
    expect(pick([rule('a', 1, 2), rule('b', 2, 1)])).toBe('b');
    expect(pick([rule('a', 1, 1), rule('b', 1, 2)])).toBe('b');
    expect(pick([rule('b', 1, 1), rule('a', 1, 1)])).toBe('a');
  });

  it('selects the class by prompt length and exposes it to rules as a label', () => {
    const configuration = configurationOf([
      { kind: 'request-class', name: 'long', spec: { traffic: [], minPromptTokens: 100 } },
      {
        kind: 'rule',
        name: 'for-long',
        spec: { traffic: [{ key: 'class', operator: 'equals', value: 'long' }] },
      },
    ]);
    const resolve = (promptTokens: number) =>
      resolveTraffic(configuration, { labels: {}, promptTokens });
    expect(resolve(200)?.rule.object.name).toBe('for-long');
    expect(resolve(50)).toBeUndefined();
  });
});

describe('parseObjects', () => {
  it('reports every invalid field and returns no objects', () => {
    const parsed = parseObjects([
      { kind: 'workspace', name: 'ok', spec: {} },
      { kind: 'workspace', name: 'No', spec: { weight: -1, other: 1 } },
      { kind: 'nothing', name: 'x', spec: {} },
    ]);
    expect(parsed.isErr && parsed.error.map(({ path }) => path).sort()).toEqual([
      'objects.1.name',
      'objects.1.spec',
      'objects.1.spec.weight',
      'objects.2.kind',
    ]);
  });
});
