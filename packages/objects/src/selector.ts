import type { Labels } from '@poppypond/core';
import { z } from 'zod';

const KEY_PATTERN = /^[a-z0-9]([a-z0-9._/-]{0,61}[a-z0-9])?$/;

/** Schema of a label key. */
export const labelKeySchema = z
  .string()
  .regex(KEY_PATTERN, 'not a label key: use a-z, 0-9 and . _ / -, at most 63');

/** Schema of a label value, which may be empty. */
export const labelValueSchema = z.string().max(128);

/** Schema of the labels of an object. */
export const labelsSchema = z.record(labelKeySchema, labelValueSchema);

const termSchema = z.discriminatedUnion('operator', [
  z.strictObject({ key: labelKeySchema, operator: z.literal('equals'), value: labelValueSchema }),
  z.strictObject({
    key: labelKeySchema,
    operator: z.enum(['in', 'not-in']),
    values: z.array(labelValueSchema).min(1).max(64),
  }),
  z.strictObject({ key: labelKeySchema, operator: z.enum(['exists', 'not-exists']) }),
]);

/** Schema of a selector. All of its terms must hold; an empty selector matches everything. */
export const selectorSchema = z.array(termSchema).max(32);

/** One condition on one label. */
export type SelectorTerm = Readonly<z.infer<typeof termSchema>>;

/** Conditions on labels that must all hold. */
export type Selector = readonly SelectorTerm[];

function matchesTerm(term: SelectorTerm, labels: Labels): boolean {
  const value = labels[term.key];
  switch (term.operator) {
    case 'equals':
      return value === term.value;
    case 'in':
      return value !== undefined && term.values.includes(value);
    case 'not-in':
      return value === undefined || !term.values.includes(value);
    case 'exists':
      return value !== undefined;
    case 'not-exists':
      return value === undefined;
  }
}

/** Whether `labels` satisfy every term of `selector`. */
export function matchesSelector(selector: Selector, labels: Labels): boolean {
  return selector.every((term) => matchesTerm(term, labels));
}

function formatTerm(term: SelectorTerm): string {
  switch (term.operator) {
    case 'equals':
      return `${term.key}=${term.value}`;
    case 'in':
      return `${term.key} in (${term.values.join(',')})`;
    case 'not-in':
      return `${term.key} not-in (${term.values.join(',')})`;
    case 'exists':
      return term.key;
    case 'not-exists':
      return `!${term.key}`;
  }
}

/** Formats a selector in the syntax of `parseSelector`. */
export function formatSelector(selector: Selector): string {
  return selector.map(formatTerm).join('; ');
}

function parseTerm(text: string): unknown {
  const setTerm = /^(\S+) (in|not-in) \(([^)]*)\)$/.exec(text);
  if (setTerm) {
    return {
      key: setTerm[1],
      operator: setTerm[2],
      values: setTerm[3]?.split(',').map((item) => item.trim()),
    };
  }
  const equals = /^([^=!\s]+)=(.*)$/.exec(text);
  if (equals) return { key: equals[1], operator: 'equals', value: equals[2] };
  if (text.startsWith('!')) return { key: text.slice(1), operator: 'not-exists' };
  return { key: text, operator: 'exists' };
}

/**
 * Parses a selector in the syntax of the operators, with terms separated by semicolons:
 * `a=b; c in (d,e); f not-in (g); h; !i`. Returns undefined if a term is malformed.
 */
export function parseSelector(text: string): Selector | undefined {
  const terms = text
    .split(';')
    .map((term) => term.trim())
    .filter((term) => term.length > 0);
  const parsed = selectorSchema.safeParse(terms.map(parseTerm));
  return parsed.success ? parsed.data : undefined;
}

/**
 * Whether no labels can match the selector because two of its terms on the same key contradict each
 * other.
 */
export function isUnsatisfiable(selector: Selector): boolean {
  return selector.some((term, index) =>
    selector
      .slice(index + 1)
      .some((other) => other.key === term.key && areContradictory(term, other)),
  );
}

function allowedValues(term: SelectorTerm): readonly string[] | undefined {
  if (term.operator === 'equals') return [term.value];
  return term.operator === 'in' ? term.values : undefined;
}

function areContradictory(left: SelectorTerm, right: SelectorTerm): boolean {
  const candidates = allowedValues(left) ?? allowedValues(right);
  if (candidates) {
    return !candidates.some((value) => {
      const labels = { [left.key]: value };
      return matchesTerm(left, labels) && matchesTerm(right, labels);
    });
  }
  const operators = [left.operator, right.operator];
  return operators.includes('exists') && operators.includes('not-exists');
}
