import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

type Action = () => void;

/** Runs actions in the order of their times. */
export class EventQueue {
  nowMs = 0;
  readonly #buckets = new Map<number, Action[]>();

  at(atMs: number, action: Action): void {
    const key = Math.max(Math.ceil(atMs), Math.floor(this.nowMs) + 1);
    const bucket = this.#buckets.get(key);
    if (bucket) bucket.push(action);
    else this.#buckets.set(key, [action]);
  }

  after(delayMs: number, action: Action): void {
    this.at(this.nowMs + delayMs, action);
  }

  run(untilMs: number): void {
    for (; this.nowMs < untilMs; this.nowMs += 1) {
      for (const action of this.#buckets.get(this.nowMs) ?? []) action();
      this.#buckets.delete(this.nowMs);
    }
  }
}

/** Returns uniform random numbers in [0, 1) that depend on the seed only. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  for (let skipped = 0; skipped < 64; skipped += 1) generator.next();
  return () => (generator.next() >>> 0) / 2 ** 32;
}
