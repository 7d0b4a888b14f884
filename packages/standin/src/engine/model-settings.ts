import {
  countSetting,
  listSetting,
  millisecondsSetting,
  numberSetting,
  booleanSetting,
} from '@poppypond/settings';

/**
 * Settings of the engine model. By default one engine prefills 50,000 tokens per second and a
 * decode step takes 12 ms; these step times are assumptions, as the users have given none.
 */
export const engineModelShape = {
  kvTokens: countSetting.default(400_000).describe('KV cache memory in tokens'),
  stepBaseMs: numberSetting.default(12).describe('duration of an empty step in milliseconds'),
  decodeMs: numberSetting
    .default(0.05)
    .describe('time in milliseconds that each decoding sequence adds to a step'),
  prefillMs: numberSetting
    .default(0.02)
    .describe('time in milliseconds that each prompt token adds to a step'),
  chunkTokens: countSetting.default(2048).describe('maximum prompt tokens in one step'),
  maxRunning: countSetting.default(128).describe('maximum sequences in one batch'),
  importMs: numberSetting
    .default(0.0005)
    .describe('time in milliseconds to import one token of KV cache'),
  reportPeriodMs: millisecondsSetting.default(100).describe('time between load reports'),
  reportLagMs: numberSetting
    .default(100)
    .describe('age in milliseconds of a load report when it is sent'),
  models: listSetting.default(['general']).describe('models loaded at the start, comma separated'),
  printRuns: booleanSetting
    .default(false)
    .describe('print each request that runs, so that its record survives the process'),
  checksFencing: booleanSetting
    .default(true)
    .describe('refuse commands with an outdated fencing token'),
};

/** Settings of the engine model. */
export interface EngineModelSettings {
  readonly kvTokens: number;
  readonly stepBaseMs: number;
  readonly decodeMs: number;
  readonly prefillMs: number;
  readonly chunkTokens: number;
  readonly maxRunning: number;
  readonly importMs: number;
  readonly reportPeriodMs: number;
  readonly reportLagMs: number;
  readonly models: readonly string[];
  readonly printRuns: boolean;
  readonly checksFencing: boolean;
}
