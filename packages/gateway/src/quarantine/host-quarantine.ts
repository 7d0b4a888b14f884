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

/** What it needs. */
export interface HostQuarantineParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly host: string;
  /** Whether a server whose answer broke off is there; a test answers for it. */
  readonly ask?: (server: ServerEndpoint) => Promise<ProbeResult>;
}

function endpointOf(url: string): ServerEndpoint {
  const { hostname, port, protocol } = new URL(url);
  const defaultPort = protocol === 'https:' ? 443 : 80;
  return { address: hostname, port: port === '' ? defaultPort : Number(port) };
}

/**
 * Requests under which backend servers ended, as this host has seen it. Without it a prompt that ends each engine
 * that runs it is given to one engine after another for as long as the retry budget lasts, and again
 * whenever its caller comes back. Other hosts find out by themselves.
 */
export class HostQuarantine implements QuarantineRegistry {
  readonly #quarantine = new Quarantine();

  constructor(readonly parts: HostQuarantineParts) {}

  /** Follows one request. */
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

/** Finds out which servers ended under one request, whose attempts run one after the other. */
export class TerminationDetector {
  #attemptCount = 0;

  constructor(
    readonly quarantine: HostQuarantine,
    readonly followed: FollowedRequest,
  ) {}

  /** Why it is not run now; undefined where it may be. */
  checkHold(): Fault | undefined {
    const held = this.followed.checkHold();
    if (!held) return undefined;
    const servers = held.entry.lastTerminations.map(({ server }) => server).join(', ');
    const detail = `servers ended under it: ${servers}`;
    return fault('quarantined', detail, { retryAfterMs: held.forMs });
  }

  /** It is given to a server. */
  begin(): void {
    this.#attemptCount += 1;
    this.followed.begin(this.#attemptId);
  }

  /** It was served. */
  onServed(): void {
    this.followed.onServed();
  }

  /** An answer broke off; resolves when it is known whether its server has ended. */
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
