import type { Clock } from '@poppypond/core';
import { chooseLaneSplit, laneOf, SINGLE_LANE, SizeHistogram } from '@poppypond/policy';
import type { Lane, LaneSplit, PredictedStartPlacement } from '@poppypond/policy';
import type { EngineDirectory } from './engine-directory.js';

const TUNE_PERIOD_MS = 1000;
/** Decay of observations in each period: half of the weight is gone after about a minute. */
const HISTOGRAM_DECAY = 0.988;
const UTILISATION_SMOOTHING = 0.1;

/** Observes request sizes and engine utilisation, and derives the lane split from them. */
export class LaneTuner {
  readonly #sizes = new SizeHistogram();
  #utilisation = 0;
  #split: LaneSplit = SINGLE_LANE;

  constructor(
    readonly directory: EngineDirectory,
    readonly placement: PredictedStartPlacement | undefined,
    clock: Clock,
  ) {
    clock.every(TUNE_PERIOD_MS, () => {
      this.#tune(clock.monotonicMs());
    });
  }

  get split(): LaneSplit {
    return this.#split;
  }

  /** Cut-off in tokens for decision records; `none` while there is a single lane. */
  get cutOffText(): string {
    const { cutOffTokens } = this.#split;
    return Number.isFinite(cutOffTokens) ? cutOffTokens.toFixed(0) : 'none';
  }

  get use(): number {
    return this.#utilisation;
  }

  observe(workTokens: number): void {
    this.#sizes.observe(workTokens);
  }

  laneOf(workTokens: number): Lane {
    return laneOf(workTokens, this.#split);
  }

  #tune(nowMs: number): void {
    const states = this.directory.all().map((engine) => engine.load.state(nowMs));
    const busy = states.filter((state) => state.prefillTokens > 0).length;
    const use = states.length === 0 ? 0 : busy / states.length;
    this.#utilisation += UTILISATION_SMOOTHING * (use - this.#utilisation);
    this.#sizes.decay(HISTOGRAM_DECAY);
    if (!this.placement?.settings.useLanes) return;
    this.#split = chooseLaneSplit(this.#sizes.buckets(), this.#utilisation);
    this.placement.split = this.#split;
  }
}
