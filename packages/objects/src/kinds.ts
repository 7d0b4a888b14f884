import { z } from 'zod';
import { labelsSchema, selectorSchema } from './selector.js';

const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;
const nameSchema = z.string().regex(NAME_PATTERN, 'use a-z, 0-9 and -, at most 63 characters');
const positive = z.number().positive();
const tokens = z.int().positive();

/**
 * A token budget, kept as a bucket: its refill rate in cost units per second, and its capacity in
 * cost units.
 */
const budgetSchema = z.strictObject({ unitsPerSecond: positive, burstUnits: positive });

const poolSpec = z.strictObject({
  /** Selects the backend servers of the pool. */
  members: selectorSchema,
  /**
   * Maximum share of the pool's engines that prompts too large for one engine may occupy at the
   * same time.
   */
  groupShare: z.number().min(0).max(1).default(0.5),
  budget: budgetSchema.optional(),
  /**
   * Number of models that one engine can hold. If more are configured, demand decides which are
   * loaded.
   */
  modelsPerEngine: z.int().positive().default(4),
  /** Number of engines reserved for short or for long work; the others accept any. */
  roles: z
    .strictObject({ short: z.int().nonnegative(), long: z.int().nonnegative() })
    .default({ short: 0, long: 0 }),
});

const backendServerSpec = z.strictObject({
  kind: z.enum(['engine', 'service']),
  /** `http://ADDRESS:PORT`. */
  url: z.url(),
  zone: nameSchema,
  /** Name in the path `/services/NAME`, for plain services. */
  service: nameSchema.optional(),
  /** Whether the server refuses commands with an older fencing token. */
  checksFencing: z.boolean().default(false),
});

const workspaceSpec = z.strictObject({
  budget: budgetSchema.optional(),
  /** Budget of each user of the workspace. */
  userBudget: budgetSchema.optional(),
  /** Weight of the workspace in the fair queueing between workspaces. */
  weight: positive.default(1),
});

const keySpec = z.strictObject({
  /** SHA-256 of the key in hexadecimal; the key itself is never stored. */
  sha256: z.string().regex(/^[0-9a-f]{64}$/),
  workspace: nameSchema,
  user: nameSchema,
});

const operatorSpec = z.strictObject({
  sha256: z.string().regex(/^[0-9a-f]{64}$/),
  role: z.enum(['viewer', 'operator', 'admin']),
  /** Selects the objects that the operator may change; empty means all. */
  scope: selectorSchema.default([]),
});

const requestClassSpec = z.strictObject({
  /** Selects the requests of the class by their labels. */
  traffic: selectorSchema,
  /** Bounds of the prompt length in tokens, both inclusive. */
  minPromptTokens: z.int().nonnegative().default(0),
  maxPromptTokens: tokens.optional(),
  /** Requests of higher priority run first. */
  priority: z.int().min(0).max(9).default(5),
  timeLimitMs: positive.default(60_000),
  /** Whether calls of this class must not run twice and need an idempotency key. */
  runsAtMostOnce: z.boolean().default(false),
});

const ruleSpec = z.strictObject({
  traffic: selectorSchema,
  action: z.enum(['allow', 'refuse']).default('allow'),
  pools: selectorSchema.default([]),
  /** If several rules match a request, the one with the highest precedence applies. */
  precedence: z.int().min(0).max(1000).default(100),
  priority: z.int().min(0).max(9).optional(),
  maxPromptTokens: tokens.optional(),
  maxOutputTokens: tokens.optional(),
  /** Maximum work that may wait under this rule on one host, in tokens. */
  maxQueuedTokens: tokens.default(4_000_000),
  maxWaitMs: positive.default(30_000),
});

const modelSpec = z.strictObject({
  version: z.string().min(1).max(64),
  adapters: z.array(nameSchema).max(64).default([]),
  /** Selects the pools that serve the model. */
  pools: selectorSchema,
  /** Minimum number of engines that hold the model in each pool. */
  minEngines: z.int().positive().default(1),
  /** Maximum number of engines that hold it in each pool; absent means all engines of the pool. */
  maxEngines: z.int().positive().optional(),
});

function envelope<Kind extends string, Spec extends z.ZodType>(kind: Kind, spec: Spec) {
  return z.strictObject({
    kind: z.literal(kind),
    name: nameSchema,
    labels: labelsSchema.default({}),
    spec,
  });
}

/** Schema of all objects that operators create. */
export const objectSchema = z.discriminatedUnion('kind', [
  envelope('pool', poolSpec),
  envelope('backend-server', backendServerSpec),
  envelope('workspace', workspaceSpec),
  envelope('key', keySpec),
  envelope('operator', operatorSpec),
  envelope('request-class', requestClassSpec),
  envelope('rule', ruleSpec),
  envelope('model', modelSpec),
]);

/** A configuration object of the operators, with its defaults filled in. */
export type ConfigObject = Readonly<z.infer<typeof objectSchema>>;

/** The kind of a configuration object. */
export type ObjectKind = ConfigObject['kind'];

/** The configuration object type of one kind. */
export type ObjectOf<Kind extends ObjectKind> = Extract<ConfigObject, { readonly kind: Kind }>;

/** A token budget: refill rate and capacity of its bucket. */
export type Budget = Readonly<z.infer<typeof budgetSchema>>;

/** All kinds, in the order in which objects are listed. */
export const OBJECT_KINDS = [
  'pool',
  'backend-server',
  'workspace',
  'key',
  'operator',
  'request-class',
  'rule',
  'model',
] as const satisfies readonly ObjectKind[];

/** Whether `text` is the name of a kind. */
export function isObjectKind(text: string): text is ObjectKind {
  return OBJECT_KINDS.some((kind) => kind === text);
}

/** Returns `kind/name`, which is unique among all objects. */
export function objectId(object: { readonly kind: string; readonly name: string }): string {
  return `${object.kind}/${object.name}`;
}
