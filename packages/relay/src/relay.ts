import type { Milliseconds } from '@poppypond/core';
import type { CallerLimits } from '@poppypond/routing';
import { enableSuspensionDetection } from '@poppypond/telemetry';
import type { Server } from 'node:http';
import { Result } from 'true-myth';
import type { Unit } from 'true-myth';
import { composeBase, composeParts, composePeers } from './compose.js';
import type { RelayBase } from './compose.js';
import { ForwardingListener } from './connections/forwarding-listener.js';
import { BacklogProbe } from './host/backlog-probe.js';
import { ConnectionAdmission } from './host/connection-admission.js';
import { connectionLimitsOf } from './host/connection-limits.js';
import { createUtilizationReader } from './host/loop-utilization.js';
import { HostFull } from './host/host-full.js';
import { HostMonitor } from './host/host-monitor.js';
import { DatagramSender } from './peers/datagram-sender.js';
import { joinMembers } from './peers/join-members.js';
import { MemberDirectory } from './peers/member-directory.js';
import type { PeerMessage } from './peers/peer-messages.js';
import type { PeerMesh } from './peers/peer-mesh.js';
import { UnreadableMessages } from './peers/unreadable-messages.js';
import type { Planner } from './planning/planner.js';
import type { PlatformPorts } from './ports.js';
import { RelayGauges } from './relay-gauges.js';
import { RequestHandler } from './request/request-handler.js';
import { CallerConnections } from './server/caller-connections.js';
import { CallerListener } from './server/caller-listener.js';
import { drain } from './server/drain.js';
import { relayStatus, STATUS_PATH } from './server/relay-status.js';
import { jsonPage, readinessPage, serveStatusPages, textPage } from './server/status-server.js';
import type { StatusPages } from './server/status-server.js';
import { splitAddress } from './settings.js';
import type { RelaySettings } from './settings.js';
import { startWatches } from './store/start-watches.js';
import { StoreTurns } from './store/store-turns.js';

/** The components that accept and serve requests. */
interface RelayComponents {
  readonly peers: PeerMesh;
  readonly planner: Planner;
  readonly serving: RequestHandler;
  readonly callerListener: CallerListener;
  readonly forwardingListener: ForwardingListener;
}

/** Limits of callers until the first configuration is loaded. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 15_000,
  idleTimeoutMs: 30_000,
};
/**
 * Callers get twice the time that they are told, so that no connection is closed while the request
 * of one that keeps to it arrives.
 */
const TIMEOUT_FACTOR = 2;
/** Time limit for writing the last log lines. */
const LOG_DRAIN_MS: Milliseconds = 100;
/**
 * The library that reads the boot clock takes 12 ms of CPU time to load, which the first requests
 * need more.
 */
const SUSPENSION_DETECTION_DELAY_MS: Milliseconds = 2000;
const GAUGE_PERIOD_MS: Milliseconds = 1000;
const MS_PER_SECOND = 1000;

function closerOf(server: Server): () => void {
  return () => {
    server.close();
    server.closeAllConnections();
  };
}

/** A relay process, from start to stop. */
export class Relay {
  readonly #base: RelayBase;
  readonly #directory: MemberDirectory;
  #components: RelayComponents | undefined;
  #stopped: Promise<void> | undefined;
  readonly #onStop: (() => void)[] = [];

  constructor(
    readonly settings: RelaySettings,
    readonly ports: PlatformPorts,
  ) {
    this.#base = composeBase(settings, ports);
    this.#directory = new MemberDirectory(this.#base.clock, this.#base.store, this.#base.log);
  }

  /**
   * Starts all components. Resolves when callers can connect, or with the reason why the start
   * failed. After a failure nothing stays open, so that the process exits and the host can restart
   * it.
   */
  async start(): Promise<Result<Unit, string>> {
    try {
      await this.#open();
      return Result.ok();
    } catch (error) {
      const why = error instanceof Error ? error.message : String(error);
      this.#base.log.error('start_failed', { why });
      this.#closeAll();
      await this.#base.output.drain(LOG_DRAIN_MS);
      return Result.err(why);
    }
  }

  /** Opens all ports; rejects if one is in use. */
  async #open(): Promise<void> {
    const { settings } = this;
    const { log, incarnation, pauseDetector } = this.#base;
    const unreadable = new UnreadableMessages(log, this.#base.metrics);
    const sender = await DatagramSender.bind(
      settings.address,
      settings.peerPort,
      this.#base.metrics,
      (message, from) => {
        pauseDetector.check();
        this.#receive(message, from);
      },
      (datagram, from) => {
        unreadable.record(datagram, from);
      },
    );
    this.#onStop.push(() => {
      sender.close();
    });
    const running = this.#compose(sender);
    this.#components = running;
    running.peers.start();
    await running.forwardingListener.listen(settings.address, settings.peerPort);
    this.#onStop.push(() => {
      running.forwardingListener.close();
    });
    await this.#openStatusServers(running);
    await this.#openCallerListener(running.callerListener);
    this.#handlePauses(running.peers);
    const turns = new StoreTurns(this.#base.clock, running.peers);
    this.#startWatches(running, turns);
    void joinMembers(this.#base, this.#directory, () => this.#isStopping).then((members) => {
      if (!members) return;
      running.peers.addMembers(members);
      turns.onJoined();
    });
    log.warn('started', {
      incarnation,
      zone: settings.availabilityZone,
      listen: settings.listen,
      store: settings.store,
    });
  }

  /** Handles a message of another host; an exception ends only this message. */
  #receive(message: PeerMessage, from: string): void {
    try {
      this.#components?.peers.receive(message, from);
    } catch (error) {
      const { kind } = message;
      this.#base.unexpectedErrors.report('peer_message', error, { kind, from });
    }
  }

  /**
   * Records an exception that ended a timer's or socket's callback, or a promise that nobody awaits.
   */
  onUncaughtException(error: unknown, origin: string): void {
    this.#base.unexpectedErrors.report(origin, error);
  }

  /**
   * Withdraws from the load balancer, finishes the accepted requests, and resolves within the grace
   * period. Later calls wait for the first.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const { clock, log, output, stop } = this.#base;
    const graceMs = this.settings.stopGraceSeconds * MS_PER_SECOND;
    if (this.#components) await drain({ clock, log, stop, ...this.#components }, graceMs);
    this.#closeAll();
    await output.drain(LOG_DRAIN_MS);
  }

  #closeAll(): void {
    this.#components?.peers.stop();
    for (const close of this.#onStop) close();
  }

  /**
   * Logs the outcome of re-reading the settings; `problem` says why it failed. Running settings do
   * not change.
   */
  onReload(problem: string | undefined): void {
    const { log } = this.#base;
    if (problem === undefined) log.warn('reloaded', { settings: this.settings.settings });
    else log.error('reload_failed', { why: problem });
  }

  get #openCount(): number {
    return this.#components?.serving.openCount ?? 0;
  }

  get #isStopping(): boolean {
    return this.#stopped !== undefined;
  }

  #compose(sender: DatagramSender): RelayComponents {
    const { clock, hostBudget, log, metrics, unexpectedErrors } = this.#base;
    const { peers, placement, planner } = composePeers(this.#base, sender, (host) => {
      void this.#directory.remove(host);
    });
    const serving = new RequestHandler(composeParts(this.#base, peers, placement));
    const readUtilization = createUtilizationReader();
    const backlogProbe = new BacklogProbe({ clock, ...splitAddress(this.settings.listen) });
    const admission = new ConnectionAdmission({
      clock,
      log,
      metrics,
      readUtilization,
      measureBacklogMs: () => backlogProbe.measure(),
    });
    this.#onStop.push(admission.start());
    const limits = () => this.#callerLimits;
    const connections = new CallerConnections({
      clock,
      log,
      metrics,
      limits: connectionLimitsOf(this.settings),
      hostBudget,
      headTimeoutMs: () => limits().headerTimeoutMs * TIMEOUT_FACTOR,
      idleTimeoutMs: () => limits().idleTimeoutMs * TIMEOUT_FACTOR,
    });
    this.#onStop.push(connections.start());
    const callerListener = new CallerListener({
      clock,
      admission,
      backlogProbe,
      connections,
      wire: this.ports.wire,
      limits,
      stalledAfterMs: () => limits().idleTimeoutMs * TIMEOUT_FACTOR,
      stalledUnderPressureMs: this.settings.stalledUnderPressureMs,
      refusalOf: (caller) => serving.refusalAtHead(caller),
      isStopping: () => this.#isStopping,
      onRequest: (request) => serving.serve(request),
      hostBudget,
      hostFull: new HostFull({ budget: hostBudget, log, metrics, random: Math.random }),
      unexpectedErrors,
    });
    const { hostFullness, reachability, servers } = this.#base;
    const forwardingListener = new ForwardingListener({
      clock,
      metrics,
      unexpectedErrors,
      reachability,
      isPeerAddress: (address) => peers.members().some((peer) => peer.address === address),
      findServer: (id) => servers.find(id),
      othersOf: ({ id, service }) =>
        servers.available(service).filter((server) => server.id !== id),
      isClosed: () => this.#isStopping || hostFullness.isFull,
    });
    return { peers, planner, serving, callerListener, forwardingListener };
  }

  get #callerLimits(): CallerLimits {
    return this.#base.activeConfiguration.table?.configuration.limits ?? DEFAULT_LIMITS;
  }

  /** After a process pause, refreshes what this host knows before it decides anything by it. */
  #handlePauses(peers: PeerMesh): void {
    const { log, pauseDetector } = this.#base;
    pauseDetector.onPause((pausedMs) => {
      const { freshness, servers } = this.#base;
      log.warn('paused', {
        paused_ms: Math.round(pausedMs),
        configuration_age_ms: Math.round(freshness.ageMs()),
        list_age_ms: Math.round(servers.freshness.ageMs()),
      });
      peers.onPause();
    });
    this.#onStop.push(pauseDetector.start());
    this.#onStop.push(
      this.#base.clock.after(SUSPENSION_DETECTION_DELAY_MS, () => {
        void enableSuspensionDetection(log);
      }),
    );
  }

  async #openCallerListener(callerListener: CallerListener): Promise<void> {
    const { listen } = this.settings;
    const open = this.ports.takeListener?.(listen);
    if (open) return callerListener.adopt(open);
    const { address, port } = splitAddress(listen);
    await callerListener.listen(address, port);
  }

  /** Opens the ports for readiness checks, metrics and the status page. */
  async #openStatusServers({ peers, planner }: RelayComponents): Promise<void> {
    const { settings, ports } = this;
    const { metrics } = this.#base;
    const readiness = splitAddress(settings.readinessListen);
    await this.#serve(readiness.address, readiness.port, {
      [ports.wire.readinessPath]: readinessPage(() => this.#isReady()),
    });
    const statusNow = () => {
      const sources = { peers, planner, openCount: this.#openCount, isReady: this.#isReady() };
      return relayStatus(this.#base, sources);
    };
    await this.#serve(settings.address, settings.metricsPort, {
      '/metrics': textPage(() => metrics.text()),
      [STATUS_PATH]: jsonPage(statusNow),
    });
  }

  async #serve(address: string, port: number, pages: StatusPages): Promise<void> {
    const server = await serveStatusPages(address, port, pages, this.#base.unexpectedErrors);
    this.#onStop.push(closerOf(server));
  }

  /** Starts the store watches and the periodic gauge updates. */
  #startWatches({ peers, planner, callerListener }: RelayComponents, turns: StoreTurns): void {
    const gauges = new RelayGauges(this.#base);
    const stopWatches = startWatches(this.#base, peers, turns, ({ configuration }) => {
      callerListener.setIdleTimeout(configuration.limits.idleTimeoutMs * TIMEOUT_FACTOR);
    });
    const cancelGauges = this.#base.clock.every(GAUGE_PERIOD_MS, () => {
      gauges.set(this.#openCount, peers, planner);
    });
    this.#onStop.push(
      stopWatches,
      cancelGauges,
      new HostMonitor({ ...this.#base, peerBytes: () => peers.heldBytes }).start(),
    );
  }

  #isReady(): boolean {
    this.#base.pauseDetector.check();
    const { servers } = this.#base;
    if (this.#isStopping || !servers.isKnown || !servers.evacuatedZones.isKnown) return false;
    if (this.#components?.peers.isWithdrawn) return false;
    return this.#base.keyTrust.verdict() !== 'refused';
  }
}
