import { listen } from '@poppypond/web';
import type { ListeningServer } from '@poppypond/web';
import type { ServerResponse } from 'node:http';

const REPORT_PERIOD_MS = 100;

/** Fake engines that only report their load, so that many run in one process. */
export class LightEngines {
  readonly servers: ListeningServer[] = [];
  readonly #feeds = new Set<ServerResponse>();
  readonly #timer: NodeJS.Timeout;
  #sequence = 0;
  bytes = 0;

  constructor(readonly reportPeriodMs = REPORT_PERIOD_MS) {
    this.#timer = setInterval(() => {
      this.#report();
    }, reportPeriodMs);
  }

  async start(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      const server = await listen(
        (request, response) => {
          response.writeHead(200, { 'content-type': 'application/x-ndjson' });
          response.flushHeaders();
          if (request.url?.startsWith('/load/stream')) {
            this.#feeds.add(response);
            response.once('close', () => this.#feeds.delete(response));
          }
        },
        '127.0.0.1',
        0,
      );
      this.servers.push(server);
    }
  }

  #report(): void {
    this.#sequence += 1;
    const line = `${JSON.stringify({
      sequence: this.#sequence,
      seen: 0,
      running: 12,
      decoding: 10,
      waiting: 0,
      prefillByPriority: [0, 0, 0, 4096, 0, 1200, 0, 900, 0, 0],
      heldTokens: 123_456 + this.#sequence,
      kvTokens: 400_000,
      role: 'any',
      isLeaving: false,
      models: { general: '1' },
    })}\n`;
    for (const feed of this.#feeds) {
      feed.write(line);
      this.bytes += line.length;
    }
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.servers.map((server) => server.close()));
  }
}
