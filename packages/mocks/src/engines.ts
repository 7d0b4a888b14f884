/** Figures of a model engine, those of the engines of the first two users. */
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

/** The service that `engineServer` makes servers of. */
export const ENGINE_SERVICE = 'engines';

/** A configuration whose only service has engines of `ENGINE_FIGURES`, and no routes. */
export function engineConfiguration() {
  return {
    version: 1,
    routes: [],
    services: [{ name: ENGINE_SERVICE, engine: ENGINE_FIGURES }],
    workspaces: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  } as const;
}

/** A backend server with an engine of `ENGINE_FIGURES`, as the store lists it. */
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
