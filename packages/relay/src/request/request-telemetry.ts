import { promptSizeOf } from '@poppypond/core';
import type { Milliseconds, ResultName } from '@poppypond/core';
import type { AttemptFailure, BackendServer, RetryDecision } from '@poppypond/fleet';
import type { BlockReason } from '../notices/send-gate.js';
import type { CallerHead } from '../ports.js';
import type { ProbedServer } from '../quarantine/termination-detector.js';
import type { AdmittedRequest } from './admit.js';
import type { StreamPlan } from './choice.js';
import type { RelayParts } from './relay-parts.js';

const MAX_LOGGED_PARTS = 8;

/** How a response ended, for the log. */
export interface ResponseSummary {
  readonly code: ResultName;
  /** HTTP status of the server's response; undefined if the response is the relay's own. */
  readonly status: number | undefined;
  readonly why: string | undefined;
  readonly attemptsSent: number;
  readonly attemptsUndelivered: number;
  readonly lastEventId: number | undefined;
}

/** A retry that was refused, and what the decision was based on. */
export interface RefusedRetry {
  readonly failure: AttemptFailure;
  readonly decision: RetryDecision;
  readonly attempts: number;
  readonly leftMs: Milliseconds;
}

/** Logs the decisions about one request and records its metrics. */
export class RequestTelemetry {
  readonly #size: string;
  /** Time from the request's arrival to its first event; undefined before that event. */
  #firstEventMs: Milliseconds | undefined;
  #lastEventAtMs: Milliseconds | undefined;
  #longestGapMs: Milliseconds = 0;

  constructor(
    readonly parts: RelayParts,
    readonly caller: CallerHead,
    readonly admitted: AdmittedRequest,
    readonly arrivedAtMs: Milliseconds,
  ) {
    this.#size = promptSizeOf(caller.promptTokens);
  }

  placed(
    attempt: string,
    server: BackendServer,
    plan: StreamPlan | undefined,
    leftMs: Milliseconds,
  ): void {
    const stream = plan?.stream;
    const rule = stream?.rule ?? 'least_outstanding';
    if (stream) this.parts.metrics.count('poppypond_placements_total', { rule });
    this.parts.log.info('placed', {
      request: this.caller.requestId,
      attempt,
      route: this.admitted.route.name,
      service: this.admitted.service,
      workspace: this.admitted.workspace,
      configuration: this.admitted.configurationVersion,
      configuration_age_ms: Math.round(this.parts.freshness.ageMs()),
      server: server.id,
      rule,
      tokens: this.caller.promptTokens,
      waited_ms: Math.round(this.#sinceArrivalMs()),
      left_ms: Math.round(leftMs),
      writers: stream?.writersBefore,
      reading_ms: stream && Math.round(stream.readingBeforeMs),
      parts: stream && stream.readerIds.length + 1,
      part_ms: stream && Math.round(stream.partMs),
      expected_ms: stream && Math.round(stream.expectedFirstMs),
      readers: stream && stream.readerIds.length > 0 ? stream.readerIds.join(',') : undefined,
      planner: plan?.planner,
    });
  }

  firstEvent(
    attempt: string,
    server: BackendServer,
    tookMs: Milliseconds,
    expectedMs: number,
  ): void {
    const afterMs = this.#sinceArrivalMs();
    this.#firstEventMs ??= afterMs;
    this.parts.metrics.observe('poppypond_first_event_milliseconds', afterMs, {
      size: this.#size,
    });
    this.parts.log.info('first_event', {
      request: this.caller.requestId,
      attempt,
      server: server.id,
      after_ms: Math.round(afterMs),
      took_ms: Math.round(tookMs),
      expected_ms: Math.round(expectedMs),
    });
  }

  /** Records that events of the response arrived, from any attempt. */
  events(): void {
    const nowMs = this.parts.clock.monotonicMs();
    const gapMs = this.#lastEventAtMs === undefined ? undefined : nowMs - this.#lastEventAtMs;
    this.#lastEventAtMs = nowMs;
    if (gapMs === undefined) return;
    this.#longestGapMs = Math.max(this.#longestGapMs, gapMs);
    this.parts.metrics.observe('poppypond_event_gap_milliseconds', gapMs, { size: this.#size });
  }

  attemptEnded(end: string): void {
    const { kind } = this.admitted.route;
    this.parts.metrics.count('poppypond_attempts_total', { kind, end });
  }

  attemptFailed(server: BackendServer, failure: AttemptFailure, why: string, again: boolean): void {
    const request = this.caller.requestId;
    this.parts.log.warn('attempt_failed', { request, server: server.id, failure, why, again });
  }

  /** Records that the send gate blocked a chosen server. */
  sendBlocked(server: string, why: BlockReason): void {
    const { log, metrics, servers } = this.parts;
    metrics.count('poppypond_sends_held_back_total', { why });
    log.info('send_held_back', {
      request: this.caller.requestId,
      server,
      why,
      list_age_ms: Math.round(servers.freshness.ageMs()),
    });
  }

  /** Records the check of a server after an attempt without a complete response. */
  serverProbed({ server, content, found, why, ends }: ProbedServer): void {
    const request = this.caller.requestId;
    const { workspace } = this.admitted;
    const parts = this.caller.sharedParts.slice(0, MAX_LOGGED_PARTS).join(',') || undefined;
    const { id, startedAtMs: born_ms } = server;
    const line = { request, content, workspace, server: id, born_ms, found, why, ends, parts };
    this.parts.metrics.count('poppypond_servers_asked_total', { state: found });
    this.parts.log.warn('server_asked', line);
  }

  /** Records that an attempt lost its work because a server that it depends on has restarted. */
  attemptLost(attempt: string, server: BackendServer): void {
    const request = this.caller.requestId;
    this.parts.log.warn('attempt_lost', {
      request,
      attempt,
      server: server.id,
      why: 'the server has restarted',
      after_ms: Math.round(this.#sinceArrivalMs()),
      list_age_ms: Math.round(this.parts.servers.freshness.ageMs()),
    });
  }

  retryRefused({ failure, decision, attempts, leftMs }: RefusedRetry): void {
    const { why } = decision;
    this.parts.metrics.count('poppypond_retries_refused_total', { why });
    this.parts.log.warn('retry_refused', {
      request: this.caller.requestId,
      failure,
      why,
      attempts,
      most: this.admitted.route.maxAttempts,
      left_ms: Math.round(leftMs),
    });
  }

  serverSuspected(server: BackendServer, why: string, forMs: Milliseconds): void {
    const request = this.caller.requestId;
    this.parts.log.warn('server_suspect', {
      request,
      server: server.id,
      why,
      for_ms: Math.round(forMs),
    });
  }

  /** Records that a connection went silent although its server accepts new ones. */
  connectionSilent(server: BackendServer): void {
    const request = this.caller.requestId;
    this.parts.metrics.count('poppypond_silent_connections_total', { service: server.service });
    this.parts.log.warn('connection_silent', { request, server: server.id });
  }

  /** Records that the answer is ended because the caller does not read it. */
  callerTooSlow(heldBytes: number, why: string): void {
    const { hostBudget, log, metrics } = this.parts;
    metrics.count('poppypond_host_refusals_total', { why: 'caller_too_slow' });
    log.warn('caller_too_slow', {
      request: this.caller.requestId,
      why,
      held_bytes: heldBytes,
      used_bytes: Math.round(hostBudget.usedBytes),
      level: hostBudget.level,
    });
  }

  answered(end: ResponseSummary): void {
    const { log, metrics } = this.parts;
    const { kind, name, aimMs, gapAimMs } = this.admitted.route;
    const isStream = kind === 'stream';
    const tookMs = this.#sinceArrivalMs();
    metrics.count('poppypond_requests_total', { kind, code: end.code });
    if (!isStream) metrics.observe('poppypond_call_milliseconds', tookMs, { kind });
    const line = {
      request: this.caller.requestId,
      code: end.code,
      status: end.status,
      why: end.why,
      route: name,
      took_ms: Math.round(tookMs),
      aim_ms: aimMs,
      tokens: isStream ? this.caller.promptTokens : undefined,
      first_event_ms: this.#firstEventMs && Math.round(this.#firstEventMs),
      longest_pause_ms: isStream ? Math.round(this.#longestGapMs) : undefined,
      pause_aim_ms: isStream ? gapAimMs : undefined,
      attempts: end.attemptsSent,
      undelivered: end.attemptsUndelivered,
      last_event: end.lastEventId,
    };
    if (end.code === 'ok') log.info('answered', line);
    else log.warn('answered', line);
  }

  /** Reports an exception that no code expects and that ends the request. */
  failed(error: unknown): void {
    const request = this.caller.requestId;
    this.parts.unexpectedErrors.report('request', error, { request });
  }

  /** Records that the host stops before the response is complete. */
  unfinishedAtStop(attempts: number, hasStarted: boolean): void {
    this.parts.log.warn('unfinished_at_stop', {
      request: this.caller.requestId,
      route: this.admitted.route.name,
      age_ms: Math.round(this.#sinceArrivalMs()),
      attempts,
      has_started: hasStarted,
    });
  }

  #sinceArrivalMs(): Milliseconds {
    return this.parts.clock.monotonicMs() - this.arrivedAtMs;
  }
}
