import type { ServerResponse } from 'node:http';
import type { SequenceEnd } from './batch.js';
import type { EngineFaults } from './faults.js';

/**
 * Writes one attempt's stream as server-sent events, with the faults that are set. Each token's
 * event has the id `ATTEMPT:INDEX`; the last event has the type `done`. A stream without `done` is
 * incomplete.
 */
export class FrameWriter {
  readonly #cutAt: number;
  readonly #isResponseLost: boolean;
  readonly #isRepeating: boolean;
  #written = 0;

  constructor(
    readonly response: ServerResponse,
    readonly attempt: number,
    faults: EngineFaults,
  ) {
    this.#cutAt = faults.cutStreams > 0 ? faults.cutAfterTokens : Number.POSITIVE_INFINITY;
    if (faults.cutStreams > 0) faults.cutStreams -= 1;
    this.#isResponseLost = faults.loseAnswers > 0;
    if (this.#isResponseLost) faults.loseAnswers -= 1;
    this.#isRepeating = faults.repeatFrames > 0;
    if (this.#isRepeating) faults.repeatFrames -= 1;
  }

  begin(accepted: Readonly<Record<string, string | number>>): void {
    if (this.#isResponseLost) return;
    this.response.writeHead(200, { 'content-type': 'text/event-stream' });
    this.response.write(`event: accepted\ndata: ${JSON.stringify(accepted)}\n\n`);
  }

  token(index: number, text: string): void {
    if (this.#isResponseLost || this.response.destroyed) return;
    if (this.#written >= this.#cutAt) {
      this.response.destroy();
      return;
    }
    const frame = `id: ${String(this.attempt)}:${String(index)}\ndata: ${text}\n\n`;
    this.response.write(frame);
    this.#written += 1;
    if (!this.#isRepeating) return;
    this.response.write(frame);
    this.response.write(`id: ${String(this.attempt - 1)}:${String(index)}\ndata: stale \n\n`);
  }

  end(end: SequenceEnd, usage: Readonly<Record<string, number>>): void {
    if (this.#isResponseLost || this.#written >= this.#cutAt) {
      this.response.destroy();
      return;
    }
    if (this.response.destroyed) return;
    const data = JSON.stringify({ end, ...usage });
    this.response.end(`event: done\nid: ${String(this.attempt)}:end\ndata: ${data}\n\n`);
  }
}
