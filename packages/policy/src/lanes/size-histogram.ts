const BUCKETS_PER_DOUBLING = 2;
const BUCKET_COUNT = 48;

/** Index of the bucket for a request with `tokens` of work. */
function bucketIndexOf(tokens: number): number {
  const bucket = Math.floor(Math.log2(Math.max(1, tokens)) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKET_COUNT - 1, bucket);
}

/** Upper bound of the sizes in a bucket, in tokens. */
export function bucketUpperBound(bucket: number): number {
  return 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING);
}

/** Requests of one size range: the upper bound of their size, their number and their total work. */
export interface SizeHistogramBucket {
  readonly limit: number;
  readonly count: number;
  readonly workTokens: number;
}

/** Histogram of request sizes by work, with exponential decay of old requests. */
export class SizeHistogram {
  readonly #counts = new Float64Array(BUCKET_COUNT);
  readonly #workTokens = new Float64Array(BUCKET_COUNT);

  observe(tokens: number, weight = 1): void {
    const bucket = bucketIndexOf(tokens);
    this.#counts[bucket] = (this.#counts[bucket] ?? 0) + weight;
    this.#workTokens[bucket] = (this.#workTokens[bucket] ?? 0) + tokens * weight;
  }

  /** Multiplies all counts and work by `factor`. */
  decay(factor: number): void {
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      this.#counts[bucket] = (this.#counts[bucket] ?? 0) * factor;
      this.#workTokens[bucket] = (this.#workTokens[bucket] ?? 0) * factor;
    }
  }

  /** Non-empty buckets, smallest sizes first. */
  buckets(): readonly SizeHistogramBucket[] {
    const found: SizeHistogramBucket[] = [];
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      const count = this.#counts[bucket] ?? 0;
      if (count > 0)
        found.push({
          limit: bucketUpperBound(bucket),
          count,
          workTokens: this.#workTokens[bucket] ?? 0,
        });
    }
    return found;
  }
}
