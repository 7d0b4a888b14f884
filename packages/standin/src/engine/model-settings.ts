import {
  countSetting,
  listSetting,
  millisecondsSetting,
  numberSetting,
  booleanSetting,
} from '@poppypond/settings';

/**
 * What the engine stand-in models. The users have not given step times; the defaults are ours,
 * chosen so that one engine prefills 50,000 tokens a second and a decode step takes 12 ms.
 */
export const engineModelShape = {
  kvTokens: countSetting.default(400_000).describe('KV memory in tokens'),
  stepBaseMs: numberSetting.default(12).describe('time of a step with nothing in it'),
  decodeMs: numberSetting
    .default(0.05)
    .describe('time added to a step by each sequence that decodes'),
  prefillMs: numberSetting.default(0.02).describe('time added to a step by each prompt token'),
  chunkTokens: countSetting.default(2048).describe('most prompt tokens in one step'),
  maxRunning: countSetting.default(128).describe('most sequences in one batch'),
  importMs: numberSetting.default(0.0005).describe('time to import one token of KV cache'),
  reportPeriodMs: millisecondsSetting.default(100).describe('time between load reports'),
  reportLagMs: numberSetting.default(100).describe('how old a load report is when it is sent'),
  models: listSetting.default(['general']).describe('models held at the start, comma separated'),
  printRuns: booleanSetting
    .default(false)
    .describe('print each request that runs, as a ground truth that outlives the process'),
  checksFencing: booleanSetting.default(true).describe('refuse orders with an older fencing token'),
};

/** The engine model's settings. */
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
