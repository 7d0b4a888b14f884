/** Figures of a model engine: those of the engines of the first two users. */
export const ENGINE_FIGURES = {
  slots: 11,
  memoryTokens: 450_000,
  stepsPerPass: 46,
  stepMs: 0.925,
  stepMsPerSequence: 0.007,
  stepMsPerThousandTokens: 0.00254,
  prefillTokensPerMs: 256,
  prefillTokensPerStep: 2048,
  prefillMsPerMillionPairs: 0.0917,
  usualAnswerTokens: 1540,
} as const;

/** Service of the servers that `engineServer` returns. */
export const ENGINE_SERVICE = 'engines';

/** Returns a configuration without routes whose only service has engines with `ENGINE_FIGURES`. */
export function engineConfiguration() {
  return {
    version: 1,
    routes: [],
    services: [{ name: ENGINE_SERVICE, engine: ENGINE_FIGURES }],
    requiresKeys: false,
    workspaces: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  } as const;
}

/** Returns a backend server, as the store lists it, with an engine of `ENGINE_FIGURES`. */
export function engineServer(id: string) {
  return {
    id,
    service: ENGINE_SERVICE,
    address: 'a',
    port: 1,
    availabilityZone: 'z',
    slots: ENGINE_FIGURES.slots,
    isDraining: false,
  };
}
