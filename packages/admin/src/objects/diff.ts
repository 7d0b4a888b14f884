import type { ConfigObject } from '@poppypond/objects';

/** A field that differs, with its values as JSON; null if the field is absent. */
export interface FieldChange {
  readonly path: string;
  readonly before: string | null;
  readonly after: string | null;
}

function flatten(value: unknown, path: string, into: Map<string, string>): void {
  if (typeof value === 'object' && value !== null) {
    for (const [key, child] of Object.entries(value)) {
      flatten(child, path === '' ? key : `${path}.${key}`, into);
    }
    return;
  }
  into.set(path, JSON.stringify(value));
}

/** Returns the fields that differ between two objects; null stands for an absent object. */
export function diffObjects(
  before: ConfigObject | null,
  after: ConfigObject | null,
): readonly FieldChange[] {
  const left = new Map<string, string>();
  const right = new Map<string, string>();
  if (before) flatten(before, '', left);
  if (after) flatten(after, '', right);
  const paths = [...new Set([...left.keys(), ...right.keys()])];
  return paths
    .filter((path) => left.get(path) !== right.get(path))
    .map((path) => ({ path, before: left.get(path) ?? null, after: right.get(path) ?? null }));
}
