import { createHash } from 'node:crypto';

/** A backend server of a sample fleet. */
export interface SampleServer {
  readonly name: string;
  readonly url: string;
  readonly zone: string;
}

/** A configuration object as operators send it to the API. */
export interface SampleObject {
  readonly kind: string;
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly spec: Readonly<Record<string, unknown>>;
}

/** API key of the operator of sample fleets. */
export const SAMPLE_OPERATOR_KEY = 'operator-key';

/** Name of the model of sample fleets. */
export const SAMPLE_MODEL = 'general';

/** Name of the plain (non-model) service of sample fleets. */
export const SAMPLE_SERVICE = 'register';

/** Workspaces of sample fleets, a few of them large. `share` is their share of requests. */
export const SAMPLE_WORKSPACES = [
  { name: 'members', share: 0.45 },
  { name: 'counters', share: 0.25 },
  { name: 'holdings', share: 0.12 },
  { name: 'audit', share: 0.08 },
  { name: 'committee', share: 0.05 },
  { name: 'field', share: 0.02 },
  { name: 'tariffs', share: 0.01 },
  { name: 'meters', share: 0.01 },
  { name: 'pricing', share: 0.01 },
] as const;

/** Returns the SHA-256 hash of a key in hexadecimal. */
export function keySha256(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Returns the API key of the caller of a sample workspace. */
export function sampleKey(workspace: string): string {
  return `key-${workspace}`;
}

function backendServer(server: SampleServer, spec: SampleObject['spec']): SampleObject {
  const labels = { fleet: 'assistant', kind: String(spec['kind']) };
  const { name, url, zone } = server;
  return { kind: 'backend-server', name, labels, spec: { ...spec, url, zone } };
}

function serverObjects(
  engines: readonly SampleServer[],
  services: readonly SampleServer[],
): readonly SampleObject[] {
  return [
    ...engines.map((engine) => backendServer(engine, { kind: 'engine', checksFencing: true })),
    ...services.map((service) =>
      backendServer(service, { kind: 'service', service: SAMPLE_SERVICE }),
    ),
  ];
}

function poolObjects(): readonly SampleObject[] {
  const pool = (name: string, kind: string): SampleObject => ({
    kind: 'pool',
    name,
    labels: { serves: name },
    spec: { members: [{ key: 'kind', operator: 'equals', value: kind }], groupShare: 0.75 },
  });
  return [pool('engines', 'engine'), pool('registers', 'service')];
}

function workspaceObjects(): readonly SampleObject[] {
  return SAMPLE_WORKSPACES.flatMap(({ name }): readonly SampleObject[] => [
    { kind: 'workspace', name, labels: { team: 'assistant' }, spec: {} },
    {
      kind: 'key',
      name: `${name}-key`,
      labels: {},
      spec: { sha256: keySha256(sampleKey(name)), workspace: name, user: 'caller' },
    },
  ]);
}

function trafficObjects(): readonly SampleObject[] {
  const ruleFor = (name: string, label: string, pool: string): SampleObject => ({
    kind: 'rule',
    name,
    labels: {},
    spec: {
      traffic: [{ key: label, operator: 'exists' }],
      pools: [{ key: 'serves', operator: 'equals', value: pool }],
    },
  });
  const promptClass = (name: string, spec: SampleObject['spec']): SampleObject => ({
    kind: 'request-class',
    name,
    labels: {},
    spec: { traffic: [{ key: 'model', operator: 'exists' }], ...spec },
  });
  return [
    promptClass('question', { maxPromptTokens: 8191, priority: 7, timeLimitMs: 30_000 }),
    promptClass('summary', {
      minPromptTokens: 8192,
      maxPromptTokens: 99_999,
      priority: 5,
      timeLimitMs: 60_000,
    }),
    promptClass('review', { minPromptTokens: 100_000, priority: 3, timeLimitMs: 120_000 }),
    {
      kind: 'request-class',
      name: 'charge',
      labels: {},
      spec: {
        traffic: [{ key: 'service', operator: 'equals', value: SAMPLE_SERVICE }],
        runsAtMostOnce: true,
        timeLimitMs: 5000,
      },
    },
    ruleFor('prompts', 'model', 'engines'),
    ruleFor('calls', 'service', 'registers'),
  ];
}

/** Returns a complete set of configuration objects for a sample fleet. */
export function sampleObjects(
  engines: readonly SampleServer[],
  services: readonly SampleServer[],
): readonly SampleObject[] {
  return [
    ...serverObjects(engines, services),
    ...poolObjects(),
    ...workspaceObjects(),
    ...trafficObjects(),
    {
      kind: 'model',
      name: SAMPLE_MODEL,
      labels: {},
      spec: { version: '1', pools: [{ key: 'serves', operator: 'equals', value: 'engines' }] },
    },
    {
      kind: 'operator',
      name: 'operator',
      labels: {},
      spec: { sha256: keySha256(SAMPLE_OPERATOR_KEY), role: 'admin' },
    },
  ];
}
