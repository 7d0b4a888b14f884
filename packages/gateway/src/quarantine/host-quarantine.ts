import { fault } from '@poppypond/core';
import type { Clock, Fault, Milliseconds } from '@poppypond/core';
import { FollowedRequest, isQuarantined, Quarantine } from '@poppypond/fleet';
import type {
  QuarantineRegistry,
  QuarantineEntry,
  RequestContent,
  TerminationHistory,
  QuarantineVerdict,
} from '@poppypond/fleet';
import type { Log, Metrics } from '@poppypond/telemetry';
import { probeServer } from '@poppypond/web';
import type { ServerEndpoint, ProbeResult } from '@poppypond/web';

/** Dependencies of `HostQuarantine`. */
export interface HostQuarantineParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly host: string;
  /** Checks whether a server whose response was cut is still running; replaced in tests. */
  readonly ask?: (server: ServerEndpoint) => Promise<ProbeResult>;
}

function endpointOf(url: string): ServerEndpoint {
  const { hostname, port, protocol } = new URL(url);
  const defaultPort = protocol === 'https:' ? 443 : 80;
  return { address: hostname, port: port === '' ? defaultPort : Number(port) };
}

/**
 * Quarantine of requests that terminate backend servers, as observed by this host. Without it a
 * prompt that terminates each engine that runs it is sent to one engine after another for as long
 * as the retry budget lasts, and again whenever its caller retries. Other hosts observe
 * terminations by themselves; nothing is exchanged.
 */
export class HostQuarantine implements QuarantineRegistry {
  readonly #quarantine = new Quarantine();

  constructor(readonly parts: HostQuarantineParts) {}

  /** Tracks one request over its attempts. */
  track(request: RequestContent): TerminationDetector {
    return new TerminationDetector(this, new FollowedRequest(this, request));
  }

  mayContain(hint: () => string): boolean {
    return this.#quarantine.mayContain(hint);
  }

  find(content: string): QuarantineEntry | undefined {
    return this.#quarantine.find(content);
  }

  historyOf(content: string): TerminationHistory {
    return this.#quarantine.historyOf(content);
  }

  judge(content: string): QuarantineVerdict {
    return this.#quarantine.judge(content, this.parts.clock.monotonicMs());
  }

  quarantinedForMs({ quarantinedUntilMs }: QuarantineEntry): Milliseconds {
    return Math.max(0, quarantinedUntilMs - this.parts.clock.monotonicMs());
  }

  onTermination(content: string, began: TerminationHistory, server: string): QuarantineEntry {
    const { clock, log, metrics, host } = this.parts;
    const atMs = clock.monotonicMs();
    this.#quarantine.expire(atMs);
    const entry = this.#quarantine.onTermination(content, began, { server, host, atMs });
    log.warn('server_ended', { content, server, ends: entry.ends });
    if (isQuarantined(entry)) metrics.count('requests.quarantined', 1);
    return entry;
  }

  onServed(content: string): void {
    this.#quarantine.onServed(content, this.parts.clock.monotonicMs());
  }
}

/** Detects servers that terminate while running one request; its attempts run in sequence. */
export class TerminationDetector {
  #attemptCount = 0;

  constructor(
    readonly quarantine: HostQuarantine,
    readonly followed: FollowedRequest,
  ) {}

  /** Returns a `quarantined` fault if the request must not run now, otherwise undefined. */
  checkHold(): Fault | undefined {
    const held = this.followed.checkHold();
    if (!held) return undefined;
    const servers = held.entry.lastTerminations.map(({ server }) => server).join(', ');
    const detail = `servers terminated while running the request: ${servers}`;
    return fault('quarantined', detail, { retryAfterMs: held.forMs });
  }

  /** An attempt is sent to a server. */
  begin(): void {
    this.#attemptCount += 1;
    this.followed.begin(this.#attemptId);
  }

  /** The request was served. */
  onServed(): void {
    this.followed.onServed();
  }

  /** A response was cut. Resolves once it is known whether the server has terminated. */
  async onResponseCut(server: string, url: string): Promise<void> {
    const { clock, ask } = this.quarantine.parts;
    const place = endpointOf(url);
    const state = await (ask ? ask(place) : probeServer(clock, place));
    if (state !== 'listening') this.followed.onTerminated(this.#attemptId, server);
  }

  get #attemptId(): string {
    return String(this.#attemptCount);
  }
}
