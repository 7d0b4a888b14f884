import type { Milliseconds } from '@poppypond/core';

/**
 * Observations that are kept of each server, and that are needed to judge it. With five and four,
 * engines in the emulator are found later (docs/design/uneven-servers.md).
 */
const KEPT_SAMPLES = 4;
const MIN_SAMPLES = 3;
/** Position in ascending order of the ratio that counts. */
const COUNTED_SAMPLE = 1;
/**
 * Observations that are closer to each other count as one, by the smallest ratio: all streams of an
 * engine see the same long pass.
 */
const SAMPLE_SPACING_MS: Milliseconds = 100;
/** Older observations are not combined with new ones: faults of servers last some seconds. */
const SAMPLE_WINDOW_MS: Milliseconds = 3000;
/**
 * A ratio without new observations counts for this long. A server that is still slow then is used
 * again by several requests before it is noticed, so it must be longer than the probe interval.
 */
export const MAX_SPEED_AGE_MS: Milliseconds = 5000;

interface Sample {
  readonly ratio: number;
  readonly atMs: Milliseconds;
}

/**
 * The recent observations of one server's speed. Its ratio is the second smallest of the last four:
 * prefills for other requests and lost packets only ever lengthen a time, so a slow server is one
 * whose fast responses are slow too. One observation that differs from the others changes nothing;
 * three slow ones or two fast ones do.
 */
export class SpeedSamples {
  #samples: readonly Sample[] = [];
  #ratio: number | undefined;
  #atMs: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Time of the newest observation that was judged together with earlier ones. */
  get atMs(): Milliseconds {
    return this.#atMs;
  }

  /** Records a ratio of observed to expected time. */
  add(ratio: number, nowMs: Milliseconds): void {
    const recent = this.#samples.filter(({ atMs }) => nowMs - atMs <= SAMPLE_WINDOW_MS);
    const last = recent.at(-1);
    this.#samples =
      last && nowMs - last.atMs < SAMPLE_SPACING_MS
        ? [...recent.slice(0, -1), { ratio: Math.min(ratio, last.ratio), atMs: last.atMs }]
        : [...recent, { ratio, atMs: nowMs }].slice(-KEPT_SAMPLES);
    if (nowMs - this.#atMs > MAX_SPEED_AGE_MS) this.#ratio = undefined;
    // Probes of a plain server are too far apart to be judged. If they kept the ratio alive, a server
    // that gets nothing else would stay slow after its recovery.
    if (this.#samples.length < MIN_SAMPLES) return;
    this.#atMs = nowMs;
    const ascending = this.#samples.map((sample) => sample.ratio).sort((one, two) => one - two);
    this.#ratio = ascending[COUNTED_SAMPLE];
  }

  /** The current ratio; undefined if there were too few observations or none lately. */
  ratioAt(nowMs: Milliseconds): number | undefined {
    return nowMs - this.#atMs <= MAX_SPEED_AGE_MS ? this.#ratio : undefined;
  }
}
