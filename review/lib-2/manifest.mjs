// The manifest of the cases: one plain service, one service of model replicas, one tenant.
const COMMON = {
  hostname: 'fund.example',
  target_latency_ms: 1000,
  priority: 1,
  max_attempts: 2,
  session_affinity: false,
  auth_exempt: false,
};

export const HOST = COMMON.hostname;
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const TENANT = 'hule930';

export const ENGINE = {
  slots: 11,
  kv_capacity_tokens: 450_000,
  stride: 1,
  step_ms: 0.925,
  per_seq_ms: 0.02,
  context_per_k: 0.001,
  read_per_s: 256_000,
  chunk: 8192,
  pairs_per_m: 0.001,
  usual: { prompt: 5000, answer: 400 },
};

export function manifest(version, change = {}) {
  return {
    version,
    routes: [
      {
        ...COMMON,
        name: 'book',
        path_prefix: '/book/',
        route_type: 'unsafe',
        service: 'register',
        timeout_ms: 10_000,
      },
      {
        ...COMMON,
        name: 'look',
        path_prefix: '/look/',
        route_type: 'safe',
        service: 'register',
        timeout_ms: 10_000,
      },
      {
        ...COMMON,
        name: 'ask',
        path_prefix: '/ask/',
        route_type: 'streaming',
        service: 'models',
        timeout_ms: 15_000,
        stream_resume: true,
        gap_aim_ms: 800,
      },
    ],
    services: [
      { name: 'register', max_connections: 110 },
      { name: 'models', max_connections: 284, engine: ENGINE },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: TENANT, api_keys: [KEY] }],
    ...change,
  };
}
