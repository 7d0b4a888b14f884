import { matchesSelector } from './selector.js';
import type { ConfigObject, ObjectKind, ObjectOf } from './kinds.js';
import { objectId, OBJECT_KINDS } from './kinds.js';

/** An accepted object with its revision. */
export interface StoredObject {
  readonly object: ConfigObject;
  /** The revision of the configuration that last changed the object; also the object's version. */
  readonly revision: number;
}

/** An accepted change of one object. `after` is null if the object was deleted. */
export interface ObjectChange {
  readonly id: string;
  readonly revision: number;
  readonly after: ConfigObject | null;
}

/** An object of a given kind with its revision. */
export interface Versioned<Kind extends ObjectKind> {
  readonly object: ObjectOf<Kind>;
  readonly revision: number;
}

type ObjectsByKind = { readonly [Kind in ObjectKind]: Map<string, Versioned<Kind>> };

function createEmptyIndex(): ObjectsByKind {
  return {
    pool: new Map(),
    'backend-server': new Map(),
    workspace: new Map(),
    key: new Map(),
    operator: new Map(),
    'request-class': new Map(),
    rule: new Map(),
    model: new Map(),
  };
}

function put<Kind extends ObjectKind>(
  map: Map<string, Versioned<Kind>>,
  object: ObjectOf<Kind>,
  revision: number,
): void {
  map.set(object.name, { object, revision });
}

/**
 * One revision of the operators' objects, indexed for lookup during decisions.
 * Immutable: `advance` returns a new configuration.
 */
export class Configuration {
  static readonly empty = new Configuration(0, new Map());

  readonly #byKind = createEmptyIndex();
  readonly #keysByHash = new Map<string, Versioned<'key'>>();
  readonly #poolMembers = new Map<string, readonly Versioned<'backend-server'>[]>();

  constructor(
    readonly revision: number,
    readonly objects: ReadonlyMap<string, StoredObject>,
  ) {
    for (const stored of objects.values()) this.#index(stored);
    for (const key of this.#byKind.key.values()) this.#keysByHash.set(key.object.spec.sha256, key);
    for (const pool of this.#byKind.pool.values()) {
      this.#poolMembers.set(pool.object.name, this.#selectMembers(pool.object));
    }
  }

  #index({ object, revision }: StoredObject): void {
    switch (object.kind) {
      case 'pool':
        return put(this.#byKind.pool, object, revision);
      case 'backend-server':
        return put(this.#byKind['backend-server'], object, revision);
      case 'workspace':
        return put(this.#byKind.workspace, object, revision);
      case 'key':
        return put(this.#byKind.key, object, revision);
      case 'operator':
        return put(this.#byKind.operator, object, revision);
      case 'request-class':
        return put(this.#byKind['request-class'], object, revision);
      case 'rule':
        return put(this.#byKind.rule, object, revision);
      case 'model':
        return put(this.#byKind.model, object, revision);
    }
  }

  #selectMembers(pool: ObjectOf<'pool'>): readonly Versioned<'backend-server'>[] {
    return this.list('backend-server').filter((server) =>
      matchesSelector(pool.spec.members, server.object.labels),
    );
  }

  /** Returns all objects of a kind. */
  list<Kind extends ObjectKind>(kind: Kind): readonly Versioned<Kind>[] {
    return [...this.#byKind[kind].values()];
  }

  /** Returns the object of this kind and name, or undefined if it does not exist. */
  get<Kind extends ObjectKind>(kind: Kind, name: string): Versioned<Kind> | undefined {
    return this.#byKind[kind].get(name);
  }

  /** Returns the key object with this SHA-256 hash. */
  findKey(sha256: string): Versioned<'key'> | undefined {
    return this.#keysByHash.get(sha256);
  }

  /** Returns the backend servers that a pool selects. */
  poolMembers(pool: string): readonly Versioned<'backend-server'>[] {
    return this.#poolMembers.get(pool) ?? [];
  }

  /**
   * Returns the configuration after `changes`; their highest revision becomes its revision. A
   * change that is not newer than the object's revision has no effect.
   */
  advance(changes: readonly ObjectChange[]): Configuration {
    const objects = new Map(this.objects);
    let revision = this.revision;
    for (const change of changes) {
      revision = Math.max(revision, change.revision);
      const before = objects.get(change.id);
      if (before && before.revision >= change.revision) continue;
      if (change.after === null) objects.delete(change.id);
      else objects.set(change.id, { object: change.after, revision: change.revision });
    }
    return new Configuration(revision, objects);
  }

  /** Returns all objects, sorted by kind and name. */
  all(): readonly StoredObject[] {
    return [...this.objects.values()].sort(
      (a, b) =>
        OBJECT_KINDS.indexOf(a.object.kind) - OBJECT_KINDS.indexOf(b.object.kind) ||
        objectId(a.object).localeCompare(objectId(b.object)),
    );
  }
}
