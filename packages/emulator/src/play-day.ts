import type { CancelTimer, Milliseconds } from '@poppypond/core';
import { callerIdleTimeoutMs, FleetView, prefillComputeMs } from '@poppypond/fleet';
import type { BackendServer, LatePromptPolicy } from '@poppypond/fleet';
import { seededRandom } from '@poppypond/load';
import { Planner, ServerList } from '@poppypond/relay/planning';
import type { PlannedStream, PlanRequest } from '@poppypond/relay/planning';
import { ActiveConfiguration } from '@poppypond/routing';
import { silentLog } from '@poppypond/telemetry';
import { engineIdOf } from './deployment.js';
import type { DayPlan, Deployment } from './deployment.js';
import { EmulatedEngine } from './emulated-engine.js';
import { EngineWords } from './engine-words.js';
import type { Outcome, OutcomeKind } from './outcome.js';
import { drawArrivals } from './traffic.js';
import type { Arrival } from './traffic.js';
import { VirtualClock } from './virtual-clock.js';

const SERVICE = 'engines';
const ZONE = 'zone';
/** One way between a host and the planner, and between a host and an engine. */
const HOP_MS: Milliseconds = 1;
/** A host asks its planner again this often while a request waits. */
const ASK_AGAIN_MS: Milliseconds = 300;
/** From a kill of all hosts until they serve again. */
const RESTART_MS: Milliseconds = 600;
/** Time after the last arrival in which what is open may still end. */
const CLOSING_MS: Milliseconds = 16_000;
/** Engines that one request may be sent to. */
const MOST_ATTEMPTS = 2;

/** One request while it is served. */
interface Open {
  readonly arrival: Arrival;
  /** Rises when a restart of the hosts ends an attempt, whose events then count no more. */
  life: number;
  firstEventMs: Milliseconds | undefined;
  lastEventAtMs: Milliseconds;
  hasLatePause: boolean;
  engineIds: readonly string[];
  /** Engines that turned it away. */
  readonly turnedAwayBy: Set<string>;
  cancelSilence: CancelTimer;
}

/** Plays one day of a deployment against the product's planner. */
export class PlayedDay {
  readonly #clock = new VirtualClock();
  readonly #engines = new Map<string, EmulatedEngine>();
  readonly #open = new Map<string, Open>();
  readonly #outcomes: Outcome[] = [];
  readonly #draw: () => number;
  readonly #inForce = new ActiveConfiguration();
  readonly #servers: ServerList;
  /** What engines say of themselves. */
  readonly words: EngineWords;
  #fleet = new FleetView();
  #planner: Planner;
  #life = 0;
  #isDown = false;

  constructor(
    readonly deployment: Deployment,
    readonly day: DayPlan,
    seed: number,
    readonly lateRule?: LatePromptPolicy,
  ) {
    this.#draw = seededRandom(seed);
    this.#servers = new ServerList(this.#clock, silentLog);
    const listed = this.#configure();
    this.words = new EngineWords(this.#clock, this.#servers, listed, day.words, this.#draw);
    this.#planner = this.#makePlanner();
  }

  /** Runs the whole day; how each request ended. */
  run(): readonly Outcome[] {
    for (const arrival of drawArrivals(this.deployment, this.day, this.#draw)) {
      this.#clock.after(arrival.atMs, () => {
        this.#arrive(arrival);
      });
    }
    for (const atMs of this.day.restartsAtMs) {
      this.#clock.after(atMs, () => {
        this.#killHosts();
      });
    }
    this.#clock.runUntil(this.day.lengthMs + CLOSING_MS);
    for (const open of [...this.#open.values()]) this.#end(open, 'open');
    return this.#outcomes;
  }

  #configure(): readonly BackendServer[] {
    const { engines, figures } = this.deployment;
    this.#inForce.apply({
      version: 1,
      routes: [],
      services: [{ name: SERVICE, engine: figures }],
      workspaces: [],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    });
    const listed: BackendServer[] = [];
    for (let index = 0; index < engines; index += 1) {
      const id = engineIdOf(index);
      const place = { service: SERVICE, address: id, port: 1, availabilityZone: ZONE };
      listed.push({ id, ...place, slots: figures.slots, isDraining: false });
      this.#engines.set(id, new EmulatedEngine(this.#clock, figures));
    }
    this.#servers.replace(listed, 0, 1);
    return listed;
  }

  #makePlanner(): Planner {
    return new Planner({
      clock: this.#clock,
      activeConfiguration: this.#inForce,
      servers: this.#servers,
      fleet: this.#fleet,
      random: this.#draw,
      latePromptPolicy: this.lateRule,
      limits: this.words.limits,
    });
  }

  #arrive(arrival: Arrival): void {
    const open: Open = {
      arrival,
      life: this.#life,
      firstEventMs: undefined,
      lastEventAtMs: this.#clock.monotonicMs(),
      hasLatePause: false,
      engineIds: [],
      turnedAwayBy: new Set(),
      cancelSilence: () => undefined,
    };
    this.#open.set(arrival.requestId, open);
    this.#watchSilence(open);
    this.#clock.after(arrival.kind.limitMs, () => {
      this.#end(open, 'left');
    });
    if (!this.#isDown) this.#ask(open);
  }

  #ask(open: Open): void {
    const life = this.#life;
    open.life = life;
    this.#clock.after(HOP_MS, () => {
      if (this.#isStale(open, life)) return;
      this.#submit(open, life);
    });
  }

  /** Hosts ask again and again while a request waits. */
  #submit(open: Open, life: number): void {
    this.#planner.submit(this.#requestFor(open), (answer) => {
      if (this.#isStale(open, life)) return;
      if (answer.kind === 'place') this.#place(open, answer.stream);
      if (answer.kind === 'refuse') this.#end(open, 'refused');
    });
    this.#clock.after(ASK_AGAIN_MS, () => {
      if (!this.#isStale(open, life) && open.engineIds.length === 0) this.#submit(open, life);
    });
  }

  #requestFor({ arrival, turnedAwayBy }: Open): PlanRequest {
    const { requestId, kind, atMs, promptTokens, events } = arrival;
    return {
      attemptId: requestId,
      requestId,
      host: 'host',
      service: SERVICE,
      workspace: 'wheat',
      priority: 1,
      promptTokens,
      answerTokens: events * this.deployment.figures.stepsPerPass,
      aimMs: kind.aimMs,
      gapAimMs: kind.gapAimMs,
      arrivedAtMs: atMs,
      callerSilentSinceMs: atMs,
      deadlineAtMs: atMs + kind.limitMs,
      isRepeated: turnedAwayBy.size > 0,
      avoidedIds: [...turnedAwayBy],
      excludedIds: this.words.excludedIds(),
    };
  }

  #isStale(open: Open, life: number): boolean {
    return open.life !== life || this.#open.get(open.arrival.requestId) !== open;
  }

  /** Sends the stream to the engines of its plan; the answer begins when all parts are read. */
  #place(open: Open, { writerId, readerIds }: PlannedStream): void {
    const { requestId, promptTokens } = open.arrival;
    const tokensMs = prefillComputeMs(this.deployment.figures, promptTokens);
    const life = open.life;
    const ids = [writerId, ...readerIds];
    open.engineIds = ids;
    let unread = ids.length;
    const onRead = () => {
      unread -= 1;
      if (unread === 0) this.#write(open, writerId, life);
    };
    this.#clock.after(2 * HOP_MS, () => {
      if (this.#isStale(open, life)) return;
      if (this.words.isTurnedAway(writerId, requestId)) {
        this.#tryAgain(open, writerId);
        return;
      }
      for (const id of ids) {
        this.#engines.get(id)?.read({
          streamId: requestId,
          tokens: promptTokens / ids.length,
          readMs: tokensMs / ids.length,
          isHelper: id !== writerId,
          onRead,
        });
      }
    });
  }

  /** An engine has turned a request away, which goes to another where it may. */
  #tryAgain(open: Open, engineId: string): void {
    open.turnedAwayBy.add(engineId);
    if (open.turnedAwayBy.size >= MOST_ATTEMPTS) {
      this.#end(open, 'refused');
      return;
    }
    this.#planner.withdraw(open.arrival.requestId);
    open.engineIds = [];
    this.#ask(open);
  }

  #write(open: Open, writerId: string, life: number): void {
    const { requestId, promptTokens, events } = open.arrival;
    this.#engines.get(writerId)?.write({
      streamId: requestId,
      contextTokens: promptTokens + (events * this.deployment.figures.stepsPerPass) / 2,
      events,
      onEvent: (isLast) => {
        this.#clock.after(HOP_MS, () => {
          if (this.#isStale(open, life)) return;
          this.words.onEvents(writerId, requestId);
          this.#onEvent(open, isLast);
        });
      },
    });
  }

  #onEvent(open: Open, isLast: boolean): void {
    const nowMs = this.#clock.monotonicMs();
    const { kind, atMs, requestId } = open.arrival;
    if (open.firstEventMs === undefined) {
      open.firstEventMs = nowMs - atMs;
      this.#fleet.onPrefillDone(requestId);
    } else if (nowMs - open.lastEventAtMs > kind.gapAimMs) {
      open.hasLatePause = true;
    }
    open.lastEventAtMs = nowMs;
    if (isLast) this.#end(open, this.#servedAs(open));
    else this.#watchSilence(open);
  }

  #servedAs({ arrival, firstEventMs, hasLatePause }: Open): OutcomeKind {
    if (firstEventMs === undefined || firstEventMs > arrival.kind.aimMs) return 'late_start';
    return hasLatePause ? 'late_pause' : 'in_time';
  }

  #watchSilence(open: Open): void {
    const { aimMs, gapAimMs } = open.arrival.kind;
    open.cancelSilence();
    open.cancelSilence = this.#clock.after(callerIdleTimeoutMs(aimMs, gapAimMs), () => {
      this.#end(open, 'left');
    });
  }

  #end(open: Open, kind: OutcomeKind): void {
    const { requestId } = open.arrival;
    if (this.#open.get(requestId) !== open) return;
    this.#open.delete(requestId);
    open.cancelSilence();
    for (const id of open.engineIds) this.#engines.get(id)?.cancel(requestId);
    this.#planner.withdraw(requestId);
    const { arrival, firstEventMs, engineIds } = open;
    const heldMs = engineIds.length === 0 ? this.#clock.monotonicMs() - arrival.atMs : 0;
    this.#outcomes.push({ arrival, kind, firstEventMs, heldMs });
  }

  /** All hosts end at once; callers ask again when hosts are back, which know nothing then. */
  #killHosts(): void {
    this.#life += 1;
    this.#isDown = true;
    for (const engine of this.#engines.values()) engine.clear();
    for (const open of this.#open.values()) open.life = -1;
    this.#clock.after(RESTART_MS, () => {
      this.#isDown = false;
      this.#fleet = new FleetView();
      this.#planner = this.#makePlanner();
      for (const open of this.#open.values()) this.#askAgain(open);
    });
  }

  /** What a caller had of an answer is lost with the host. */
  #askAgain(open: Open): void {
    open.firstEventMs = undefined;
    open.hasLatePause = false;
    open.engineIds = [];
    open.lastEventAtMs = this.#clock.monotonicMs();
    this.#ask(open);
  }
}
