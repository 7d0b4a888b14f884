import type { Milliseconds } from '@poppypond/core';
import type { AttemptUse, BackendServer, FleetView } from '@poppypond/fleet';
import type { PlanRequest } from '../planning/plan-request.js';
import type { Planner } from '../planning/planner.js';
import type { ColdExchange } from './cold-exchange.js';
import type { ExchangeParts } from './exchange-parts.js';
import type { EvacuationExchange } from './evacuation-exchange.js';
import type { LimitExchange } from './limit-exchange.js';
import type { SpeedExchange } from './speed-exchange.js';
import { toWireServer } from './server-wire-format.js';
import type { PeerMessage } from './peer-messages.js';
import type { WirePlanRequest } from './plan-messages.js';
import type { StoreSyncState } from './store-sync-state.js';
import {
  fromWirePlanRequest,
  toWirePlanAnswer,
  toWirePlanRequest,
  toWireAttemptUse,
} from './planning-wire-format.js';

/** Dependencies of `AttemptExchange`. */
export interface AttemptExchangeParts extends ExchangeParts {
  /** Name of this host. */
  readonly host: string;
  readonly fleet: FleetView;
  readonly planner: Planner;
  readonly syncState: StoreSyncState;
  readonly limitExchange: LimitExchange;
  readonly evacuationExchange: EvacuationExchange;
  readonly coldExchange: ColdExchange;
  readonly speedExchange: SpeedExchange;
  /** Names of the engine services, for which this host may be a planner or request plans. */
  readonly engineServices: () => readonly string[];
}

/**
 * Requests plans from other hosts, plans for them, and reports attempts and server failures to the
 * planners.
 */
export class AttemptExchange {
  constructor(readonly parts: AttemptExchangeParts) {}

  /** Hosts that plan for a service, in rank order; may include this host. */
  plannersOf(service: string): readonly string[] {
    const { engineServices, peers } = this.parts;
    return peers.plannersOf(Math.max(0, engineServices().indexOf(service)));
  }

  /** Whether `host` is a planner, which has to know the attempts of this host. */
  isPlanner(host: string): boolean {
    return this.parts.engineServices().some((service) => this.plannersOf(service).includes(host));
  }

  /** Services for which this host is the first planner and `standby` another one. */
  servicesWithStandby(standby: string): readonly string[] {
    return this.parts.engineServices().filter((service) => {
      const [first, ...others] = this.plannersOf(service);
      return first === this.parts.host && others.includes(standby);
    });
  }

  /** Sends a plan request to `planner`. The answers arrive as messages, unless they are lost. */
  askPlan(planner: string, request: PlanRequest): void {
    const { clock, coldExchange, evacuationExchange, limitExchange } = this.parts;
    const limits = limitExchange.forPlanRequest(request.service);
    const cold = coldExchange.forPlanRequest(request.service);
    const evacuations = evacuationExchange.forPlanRequest();
    const nowMs = clock.monotonicMs();
    const wire = toWirePlanRequest(request, nowMs);
    const speeds = this.parts.speedExchange.forPlanRequest(planner);
    const ask = {
      ...wire,
      limits,
      ...(cold && { cold }),
      ...evacuations,
      ...(speeds && { speeds }),
      ...((cold ?? speeds) && { sentAtMs: nowMs }),
    };
    this.#sendTo(planner, { kind: 'ask', ...this.parts.senderFields(), ask });
  }

  /** Notifies `planner` that an attempt will not run according to its plan. */
  withdrawPlan(planner: string, attemptId: string): void {
    this.#sendTo(planner, { kind: 'withdraw', ...this.parts.senderFields(), attempt: attemptId });
  }

  /**
   * Submits a plan request of `host`, whose process is `incarnation`, to the planner, and sends each
   * answer to `host`.
   */
  onPlanRequest(ask: WirePlanRequest, host: string, incarnation: string): void {
    const { clock, coldExchange, evacuationExchange, limitExchange } = this.parts;
    const { planner, senderFields } = this.parts;
    const { attempt, limits, cold, sentAtMs } = ask;
    limitExchange.recordFromPeer(limits, host);
    evacuationExchange.onPlanRequest(ask, host);
    if (cold) coldExchange.recordFromPeer(cold, { host, incarnation, sentAtMs });
    this.parts.speedExchange.recordFromPeer(ask.speeds, { host, incarnation, sentAtMs });
    planner.submit(fromWirePlanRequest(ask, host, clock.monotonicMs()), (answer) => {
      const wire = toWirePlanAnswer(answer);
      this.#sendTo(host, { kind: 'plan', ...senderFields(), attempt, answer: wire });
    });
  }

  /**
   * Records that an attempt starts, and notifies the planners of `service`; none if it is
   * undefined.
   */
  begin(use: AttemptUse, service: string | undefined): void {
    this.parts.fleet.begin(use);
    const wire = toWireAttemptUse(use, this.parts.clock.monotonicMs());
    this.#notifyPlanners(service, { kind: 'begin', ...this.parts.senderFields(), use: wire });
  }

  /**
   * Records the first event of an attempt. `service` is undefined if planners need not be notified.
   */
  onPrefillDone(attemptId: string, service: string | undefined): void {
    this.parts.fleet.onPrefillDone(attemptId);
    this.#notifyPlanners(service, {
      kind: 'read',
      ...this.parts.senderFields(),
      attempt: attemptId,
    });
  }

  /**
   * Records that an attempt has ended or will not start. `isServed`: whether its server served it
   * completely.
   */
  end(attemptId: string, service: string | undefined, isServed = false): void {
    const { clock, fleet, senderFields } = this.parts;
    const tellsServed = isServed && fleet.avoidance.isEnabled;
    if (tellsServed) fleet.onServed(attemptId, clock.monotonicMs());
    fleet.end(attemptId);
    this.#notifyPlanners(service, {
      kind: 'end',
      ...senderFields(),
      attempt: attemptId,
      ...(tellsServed && { isServed }),
    });
  }

  /**
   * Makes all hosts that select among the servers of `service` avoid a failed one. Returns for how
   * long from now.
   */
  suspect(server: string, service: string): Milliseconds {
    const { clock, fleet } = this.parts;
    const nowMs = clock.monotonicMs();
    const isKnown = fleet.suspicions.leftMs(server, nowMs) > 0;
    const forMs = fleet.avoidance.onFailed(server, nowMs, this.#isEngineService(service));
    if (!isKnown) this.broadcastSuspicion(server, service, forMs);
    return forMs;
  }

  /**
   * Makes all hosts that select among the servers of `service` avoid one for `forMs`. `isFirm`:
   * also if it serves a request.
   */
  broadcastSuspicion(server: string, service: string, forMs: Milliseconds, isFirm = false): void {
    const tellsEngine = this.parts.fleet.avoidance.isEnabled && this.#isEngineService(service);
    const message = {
      kind: 'suspect',
      ...this.parts.senderFields(),
      server,
      forMs,
      ...(tellsEngine && { isEngine: true }),
      ...(isFirm && { isFirm }),
    } as const;
    this.#notifySelectingHosts(service, message);
  }

  /**
   * Makes all hosts that select among the servers of its service exclude a listed server that is
   * gone. If each host finds that out by itself, 322 of 2,218 attempts go to addresses that another
   * engine has taken over, in 33 s in which 31 of 60 engines restart behind network partitions;
   * with this broadcast, 38 of 1,979.
   */
  broadcastServerGone(server: BackendServer): void {
    const { host, syncState, senderFields } = this.parts;
    if (!syncState.onServerGone(server, host)) return;
    const message: PeerMessage = { kind: 'gone', ...senderFields(), server: toWireServer(server) };
    this.#notifySelectingHosts(server.service, message);
  }

  #notifyPlanners(service: string | undefined, message: PeerMessage): void {
    if (service === undefined) return;
    for (const host of this.plannersOf(service)) this.#sendTo(host, message);
  }

  /**
   * Sends `message` to the hosts that select among the servers of `service`: to its planners if it
   * is an engine service, otherwise to every host.
   */
  #notifySelectingHosts(service: string, message: PeerMessage): void {
    const { peers, send } = this.parts;
    if (this.#isEngineService(service)) this.#notifyPlanners(service, message);
    else send([...peers.all()], message);
  }

  #isEngineService(service: string): boolean {
    return this.parts.engineServices().includes(service);
  }

  #sendTo(host: string, message: PeerMessage): void {
    const peer = this.parts.peers.find(host);
    if (peer) this.parts.send([peer], message);
  }
}
