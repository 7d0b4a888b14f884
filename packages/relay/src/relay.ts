import { delay, fault, newOwner, SystemClock } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import { FleetView, ReadQueue, RetryBudget } from '@poppypond/fleet';
import { ConfigurationInForce, Freshness } from '@poppypond/routing';
import type { RouteTable } from '@poppypond/routing';
import {
  BoundedOutput,
  createLog,
  lineText,
  Measures,
  writeStandardOutput,
} from '@poppypond/telemetry';
import type { Log } from '@poppypond/telemetry';
import type { Server } from 'node:http';
import { DatagramSender } from './peers/datagram-sender.js';
import { MemberDirectory } from './peers/member-directory.js';
import { PeerMesh } from './peers/peer-mesh.js';
import { SharedKnowledge } from './peers/shared-knowledge.js';
import type { EngineMemory, PlatformRows, RelayWire, RowStore } from './ports.js';
import { admit } from './request/admit.js';
import type { RelayParts } from './request/relay-parts.js';
import { RelayRun } from './request/relay-run.js';
import { FrontServer } from './server/front-server.js';
import type { ReadRequest } from './server/front-server.js';
import { readinessPage, serveSmallPages, textPage } from './server/small-server.js';
import type { RelaySettings } from './settings.js';
import { ConfigurationWatch } from './store/configuration-watch.js';
import { ServerList } from './store/server-list.js';
import { ServerWatch } from './store/server-watch.js';

/** What a platform provides: its store and the forms in which it speaks. */
export interface PlatformPorts {
  readonly store: RowStore;
  readonly rows: PlatformRows;
  readonly wire: RelayWire;
  readonly memory: EngineMemory;
}

/** A key counts for this much less than allowed, for the way between check and use. */
const KEY_MARGIN_MS: Milliseconds = 200;
const DEFAULT_BODY_BYTES = 4 * 1024 * 1024;
/** Idle connections are kept for twice what callers are told, so none is closed under a request. */
const IDLE_FACTOR = 2;
const JOIN_RETRY_MS: Milliseconds = 1000;
/** After SIGTERM the balancer asks twice, a second apart, before it sends nothing more. */
const LEAVE_MS: Milliseconds = 2500;
/** Part of the grace that is kept for leaving in order. */
const STOP_MARGIN_MS: Milliseconds = 600;
const POLL_STOP_MS: Milliseconds = 50;
const LOG_DRAIN_MS: Milliseconds = 100;
const GAUGE_PERIOD_MS: Milliseconds = 1000;

function splitAddress(text: string): { readonly address: string; readonly port: number } {
  const [address = '', port = '0'] = text.split(':');
  return { address, port: Number(port) };
}

function closing(server: Server): () => void {
  return () => {
    server.close();
    server.closeAllConnections();
  };
}

/** One relay process, from start to stop. */
export class Relay {
  readonly #clock = new SystemClock();
  readonly #owner;
  readonly #output: BoundedOutput;
  readonly #log: Log;
  readonly #measures = new Measures();
  readonly #inForce = new ConfigurationInForce();
  readonly #freshness: Freshness;
  readonly #fleet = new FleetView();
  readonly #queue = new ReadQueue();
  readonly #servers: ServerList;
  readonly #knowledge: SharedKnowledge;
  readonly #front: FrontServer;
  readonly #directory: MemberDirectory;
  #peers: PeerMesh | undefined;
  #parts: RelayParts | undefined;
  #open = 0;
  #isStopping = false;
  readonly #onStop: (() => void)[] = [];

  constructor(
    readonly settings: RelaySettings,
    readonly ports: PlatformPorts,
  ) {
    this.#owner = newOwner(settings.host);
    const dropped = (counts: Readonly<Record<string, number>>) =>
      `${lineText({ event: 'lines_dropped', host: settings.host, ...counts })}\n`;
    this.#output = new BoundedOutput(this.#clock, writeStandardOutput, dropped);
    this.#log = createLog({ host: settings.host }, settings.logLevel, (line, level) => {
      this.#output.line(line, level === 'info' || level === 'debug' ? 'ordinary' : 'important');
    });
    this.#freshness = new Freshness(this.#clock);
    this.#servers = new ServerList(this.#clock, this.#log);
    this.#knowledge = new SharedKnowledge({
      clock: this.#clock,
      inForce: this.#inForce,
      freshness: this.#freshness,
      list: this.#servers,
    });
    this.#directory = new MemberDirectory(ports.store, this.#log);
    this.#front = new FrontServer({
      clock: this.#clock,
      wire: ports.wire,
      maxBodyBytes: () =>
        this.#inForce.table?.configuration.limits.maxBodyBytes ?? DEFAULT_BODY_BYTES,
      isStopping: () => this.#isStopping,
      onRequest: (request) => {
        void this.#serve(request);
      },
    });
  }

  /** Starts everything; resolves when callers may connect. */
  async start(): Promise<void> {
    const { settings, ports } = this;
    const sender = await DatagramSender.bind(
      settings.address,
      settings.peerPort,
      (message, from) => {
        this.#peers?.receive(message, from);
      },
    );
    this.#peers = this.#makePeers(sender);
    this.#parts = this.#makeParts(this.#peers);
    this.#peers.start([]);
    const readiness = splitAddress(settings.readinessListen);
    this.#onStop.push(
      closing(
        await serveSmallPages(readiness.address, readiness.port, {
          [ports.wire.readinessPath]: readinessPage(() => this.#isReady()),
        }),
      ),
    );
    this.#onStop.push(
      closing(
        await serveSmallPages(settings.address, settings.metricsPort, {
          '/metrics': textPage(() => this.#measures.text()),
        }),
      ),
    );
    this.#onStop.push(() => {
      sender.close();
    });
    const front = splitAddress(settings.listen);
    await this.#front.listen(front.address, front.port);
    this.#startWatches(this.#peers);
    void this.#join();
    this.#log.warn('started', {
      incarnation: this.#owner.incarnation,
      zone: settings.availabilityZone,
      listen: settings.listen,
      store: settings.store,
    });
  }

  /** Leaves the balancer, finishes what was taken, and resolves within the grace. */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const nowMs = this.#clock.monotonicMs();
    const untilMs = nowMs + this.settings.stopGraceSeconds * 1000 - STOP_MARGIN_MS;
    this.#log.warn('stopping', { open: this.#open, within_ms: Math.round(untilMs - nowMs) });
    await delay(this.#clock, LEAVE_MS);
    // Requests on kept connections would still come, and those that come late can't be finished.
    this.#front.close();
    while (this.#open > 0 && this.#clock.monotonicMs() < untilMs) {
      this.#front.closeIdle();
      await delay(this.#clock, POLL_STOP_MS);
    }
    this.#peers?.stop();
    await Promise.race([
      this.#directory.leave(this.settings.host),
      delay(this.#clock, LOG_DRAIN_MS),
    ]);
    for (const close of this.#onStop) close();
    this.#log.warn('stopped', { open: this.#open });
    await this.#output.drain(LOG_DRAIN_MS);
  }

  /** The settings were read again; only the level of the log may change while running. */
  onReload(problem: string | undefined): void {
    if (problem === undefined) this.#log.warn('reloaded', { settings: this.settings.settings });
    else this.#log.error('reload_failed', { why: problem });
  }

  #makePeers(sender: DatagramSender): PeerMesh {
    const { host, address, peerPort } = this.settings;
    return new PeerMesh({
      clock: this.#clock,
      log: this.#log,
      sender,
      self: { host, address, port: peerPort, incarnation: this.#owner.incarnation },
      fleet: this.#fleet,
      queue: this.#queue,
      knowledge: this.#knowledge,
    });
  }

  #makeParts(peers: PeerMesh): RelayParts {
    const { settings } = this;
    const figures = {
      ratio: settings.retryRatio,
      windowMs: settings.retryWindowSeconds * 1000,
      slack: settings.retrySlack,
    };
    return {
      clock: this.#clock,
      host: settings.host,
      log: this.#log,
      measures: this.#measures,
      wire: this.ports.wire,
      memory: this.ports.memory,
      inForce: this.#inForce,
      freshness: this.#freshness,
      keysTrustedMs: settings.keysTrustedMs - KEY_MARGIN_MS,
      fleet: this.#fleet,
      queue: this.#queue,
      servers: this.#servers,
      peers,
      budget: new RetryBudget(this.#clock, figures, () => peers.hostCount),
      draw: Math.random,
    };
  }

  #startWatches(peers: PeerMesh): void {
    const isReader = () => peers.isReader();
    const shared = {
      clock: this.#clock,
      log: this.#log,
      store: this.ports.store,
      rows: this.ports.rows,
    };
    const configuration = new ConfigurationWatch({
      ...shared,
      knowledge: this.#knowledge,
      isReader,
      inForce: this.#inForce,
      freshness: this.#freshness,
      onChange: (table) => {
        this.#onConfiguration(table);
        if (isReader()) peers.tellNews();
      },
    });
    const servers = new ServerWatch({
      ...shared,
      list: this.#servers,
      knowledge: this.#knowledge,
      isReader,
      onChange: () => {
        if (isReader()) peers.tellNews();
      },
    });
    void configuration.run();
    void servers.run();
    const cancelGauges = this.#clock.every(GAUGE_PERIOD_MS, () => {
      this.#setGauges();
    });
    this.#onStop.push(
      () => {
        configuration.stop();
      },
      () => {
        servers.stop();
      },
      cancelGauges,
    );
  }

  #onConfiguration(table: RouteTable): void {
    this.#front.setIdleTimeout(table.configuration.limits.idleTimeoutMs * IDLE_FACTOR);
  }

  async #join(): Promise<void> {
    const { host, address, peerPort } = this.settings;
    while (!this.#isStopping) {
      const members = await this.#directory.join({ host, address, port: peerPort });
      if (members) {
        this.#peers?.learn(members);
        return;
      }
      await delay(this.#clock, JOIN_RETRY_MS);
    }
  }

  #isReady(): boolean {
    if (this.#isStopping || !this.#servers.isKnown || !this.#parts) return false;
    return this.#inForce.table !== undefined && this.#freshness.ageMs() < this.#parts.keysTrustedMs;
  }

  async #serve({ body, answer, arrivedAtMs }: ReadRequest): Promise<void> {
    const parts = this.#parts;
    const { caller } = answer;
    if (!parts || !caller) {
      answer.refuse(fault('bad_field', 'the head lacks the identifier of the request'));
      return;
    }
    const admitted = admit(parts, caller);
    if (admitted.isErr) {
      this.#refuse(admitted.error, caller.requestId, answer);
      return;
    }
    this.#open += 1;
    try {
      await new RelayRun(parts, caller, admitted.value, body, answer, arrivedAtMs).run();
    } finally {
      this.#open -= 1;
    }
  }

  #refuse(reason: ReturnType<typeof fault>, request: string, answer: ReadRequest['answer']): void {
    answer.refuse(reason);
    this.#measures.count('poppypond_requests_total', { kind: 'none', code: reason.code });
    this.#log.warn('refused', {
      request,
      code: reason.code,
      why: reason.detail,
      configuration: this.#inForce.version,
      configuration_age_ms: Math.round(this.#freshness.ageMs()),
    });
  }

  #setGauges(): void {
    this.#measures.set('poppypond_requests_open', this.#open);
    this.#measures.set('poppypond_configuration_version', this.#inForce.version);
    this.#measures.set('poppypond_configuration_age_milliseconds', this.#freshness.ageMs());
    this.#measures.set('poppypond_backend_servers', this.#servers.size);
    this.#measures.set('poppypond_peers', this.#peers?.aliveCount ?? 0);
  }
}
