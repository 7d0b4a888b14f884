import { z } from 'zod';
import { labelsSchema, selectorSchema } from './selector.js';

const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;
const nameSchema = z.string().regex(NAME_PATTERN, 'use a-z, 0-9 and -, at most 63');
const positive = z.number().positive();
const tokens = z.int().positive();

/** A token budget: sustained cost units each second, and the most that can be saved up. */
const budgetSchema = z.strictObject({ unitsPerSecond: positive, burstUnits: positive });

const poolSpec = z.strictObject({
  /** Which backend servers belong to the pool. */
  members: selectorSchema,
  /** The share of the pool's engines that prompts larger than one engine may hold at once. */
  groupShare: z.number().min(0).max(1).default(0.5),
  budget: budgetSchema.optional(),
  /** Models that one engine can hold; where more are wanted, demand decides which. */
  modelsPerEngine: z.int().positive().default(4),
  /** How many engines are kept for one kind of work; the rest take any. */
  roles: z
    .strictObject({ short: z.int().nonnegative(), long: z.int().nonnegative() })
    .default({ short: 0, long: 0 }),
});

const backendServerSpec = z.strictObject({
  kind: z.enum(['engine', 'service']),
  /** `http://ADDRESS:PORT`. */
  url: z.url(),
  zone: nameSchema,
  /** The name under `/services/`, for plain services. */
  service: nameSchema.optional(),
  /** Whether it refuses orders with an older fencing token. */
  checksFencing: z.boolean().default(false),
});

const workspaceSpec = z.strictObject({
  budget: budgetSchema.optional(),
  /** The budget of each single user in the workspace. */
  userBudget: budgetSchema.optional(),
  /** Share of waiting capacity against other workspaces. */
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
  /** Objects that the operator may change; empty means all. */
  scope: selectorSchema.default([]),
});

const requestClassSpec = z.strictObject({
  /** Which requests belong to the class, by request labels. */
  traffic: selectorSchema,
  /** Prompt length in tokens, inclusive. */
  minPromptTokens: z.int().nonnegative().default(0),
  maxPromptTokens: tokens.optional(),
  /** Higher runs first. */
  priority: z.int().min(0).max(9).default(5),
  timeLimitMs: positive.default(60_000),
  /** Calls of this class may not run twice and need an idempotency key. */
  runsAtMostOnce: z.boolean().default(false),
});

const ruleSpec = z.strictObject({
  traffic: selectorSchema,
  action: z.enum(['allow', 'refuse']).default('allow'),
  pools: selectorSchema.default([]),
  /** Decides between rules that match the same request; higher first. */
  precedence: z.int().min(0).max(1000).default(100),
  priority: z.int().min(0).max(9).optional(),
  maxPromptTokens: tokens.optional(),
  maxOutputTokens: tokens.optional(),
  /** The most work that may wait under this rule on one host, in tokens. */
  maxQueuedTokens: tokens.default(4_000_000),
  maxWaitMs: positive.default(30_000),
});

const modelSpec = z.strictObject({
  version: z.string().min(1).max(64),
  adapters: z.array(nameSchema).max(64).default([]),
  /** Which pools serve the model. */
  pools: selectorSchema,
  /** Fewest engines that hold the model in each pool. */
  minEngines: z.int().positive().default(1),
  /** Most engines that hold it; absent means all of the pool. */
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

/** Any object that operators create. */
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

/** An operators' object with its defaults filled in. */
export type ConfigObject = Readonly<z.infer<typeof objectSchema>>;

/** The kind of an operators' object. */
export type ObjectKind = ConfigObject['kind'];

/** The object type of one kind. */
export type ObjectOf<Kind extends ObjectKind> = Extract<ConfigObject, { readonly kind: Kind }>;

/** A token budget. */
export type Budget = Readonly<z.infer<typeof budgetSchema>>;

/** The kinds, in the order in which they are listed. */
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

/** Whether `text` names a kind. */
export function isObjectKind(text: string): text is ObjectKind {
  return OBJECT_KINDS.some((kind) => kind === text);
}

/** `kind/name`, unique over all objects. */
export function objectId(object: { readonly kind: string; readonly name: string }): string {
  return `${object.kind}/${object.name}`;
}
