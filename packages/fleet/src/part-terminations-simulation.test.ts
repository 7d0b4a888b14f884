import type { Milliseconds } from '@poppypond/core';
import { describe, expect, it } from 'vitest';
import { EventQueue, seededRandom } from './mocks/simulation.js';
import { PartTerminations } from './part-terminations.js';

const SERVERS = 18;
const DAY_MS = 26_000;
const DAYS = 20;
const CONTACT_MS = 3000;
const HOLD_MS = 20_000;
/** Time until hosts know what another has noticed. */
const LATENCY_MS = 60;
const RETRY_DELAY_MS = 300;

/** Requests a second, their duration and when a fatal one crashes, and how many parts they share. */
const CLASSES = {
  short: { rate: 28, minMs: 150, maxMs: 500, crashMs: 200, parts: 30 },
  long: { rate: 0.8, minMs: 2000, maxMs: 4500, crashMs: 1800, parts: 4 },
} as const;

interface Scenario {
  readonly name: string;
  readonly fatal?: {
    readonly class: keyof typeof CLASSES;
    readonly rate: number;
    readonly parts: number;
  };
  readonly crashEveryMs?: Milliseconds;
  /** Share of the servers that is lost at 6 s, and the time over which they are lost. */
  readonly lost?: { readonly share: number; readonly withinMs: Milliseconds };
  /** Whether the loss is noticed by silence only. */
  readonly isSilent?: boolean;
}

interface Server {
  readonly id: number;
  life: number;
  isUp: boolean;
  runs: Set<Run>;
}

interface Run {
  readonly request: string;
  readonly parts: readonly string[];
  readonly startedAtMs: Milliseconds;
  readonly onLost: () => void;
}

/** One simulated day of requests with shared parts, on servers that crash for several reasons. */
class SimulatedDay {
  readonly fatalArrivals: Milliseconds[] = [];
  readonly fatalCrashes: Milliseconds[] = [];
  soundCount = 0;
  soundHeld = 0;
  readonly #events = new EventQueue();
  readonly #known = new PartTerminations();
  readonly #heldUntilMs = new Map<string, Milliseconds>();
  readonly #servers = Array.from({ length: SERVERS }, (_unused, id): Server => {
    return { id, life: 0, isUp: true, runs: new Set() };
  });

  constructor(
    readonly scenario: Scenario,
    readonly random: () => number,
  ) {}

  simulate(): void {
    const { fatal, crashEveryMs, lost, isSilent } = this.scenario;
    for (const name of ['short', 'long'] as const)
      this.#repeat(CLASSES[name].rate, 0, () => this.#sendSound(name));
    if (fatal) this.#repeat(fatal.rate, 5000, (index) => this.#sendFatal(fatal.class, index));
    for (let ms = 4000; crashEveryMs && ms < DAY_MS; ms += crashEveryMs)
      this.#events.at(ms, () => this.#crash(this.#pick(), false));
    for (const server of this.#servers) {
      if (lost && this.random() < lost.share)
        this.#events.at(6000 + this.random() * lost.withinMs, () =>
          this.#crash(server, isSilent ?? false),
        );
    }
    this.#events.run(DAY_MS);
  }

  /** Fatal requests that reached servers although their part had to be known. */
  get laterArrivals(): number {
    const knownAtMs = (this.fatalCrashes[4] ?? Infinity) + CONTACT_MS;
    return this.fatalArrivals.filter((atMs) => atMs > knownAtMs).length;
  }

  #repeat(rate: number, fromMs: Milliseconds, send: (index: number) => void): void {
    let index = 0;
    for (let ms = fromMs; ms < DAY_MS - 4000; ms -= (Math.log(1 - this.random()) / rate) * 1000)
      this.#events.at(ms, () => send(index++));
  }

  #pick(): Server | undefined {
    const running = this.#servers.filter(({ isUp }) => isUp);
    return running[Math.floor(this.random() * running.length)];
  }

  #otherPart(name: keyof typeof CLASSES): string {
    return `${name}-${String(Math.floor(this.random() ** 2 * CLASSES[name].parts))}`;
  }

  #sendSound(name: keyof typeof CLASSES): void {
    const { minMs, maxMs } = CLASSES[name];
    const parts = [name, this.#otherPart(name)];
    this.soundCount += 1;
    this.#attempt(`sound-${String(this.soundCount)}`, parts, 4, (server, run) => {
      this.#events.after(minMs + this.random() * (maxMs - minMs), () => {
        if (server.runs.delete(run)) for (const part of parts) this.#onServed(part);
      });
    });
  }

  #sendFatal(name: keyof typeof CLASSES, index: number): void {
    const part = `fatal-${String(index % (this.scenario.fatal?.parts ?? 1))}`;
    const parts = [name, part, this.#otherPart(name)];
    this.#attempt(`fatal-${String(index)}`, parts, 4, (server, run) => {
      this.fatalArrivals.push(this.#events.nowMs);
      this.#events.after(CLASSES[name].crashMs, () => {
        if (!server.runs.has(run)) return;
        this.fatalCrashes.push(this.#events.nowMs);
        this.#crash(server, false);
      });
    });
  }

  #attempt(
    request: string,
    parts: readonly string[],
    attemptsLeft: number,
    onStart: (server: Server, run: Run) => void,
  ): void {
    const held = parts.find((part) => this.#isHeld(part));
    const isSound = parts.every((part) => !part.startsWith('fatal'));
    if (held !== undefined && isSound) this.soundHeld += 1;
    const server = held === undefined ? this.#pick() : undefined;
    if (!server) return;
    const run: Run = {
      request,
      parts,
      startedAtMs: this.#events.nowMs,
      onLost: () => {
        const delayMs = attemptsLeft % 2 === 0 ? 0 : RETRY_DELAY_MS;
        if (attemptsLeft > 1)
          this.#events.after(delayMs, () =>
            this.#attempt(request, parts, attemptsLeft - 1, onStart),
          );
      },
    };
    server.runs.add(run);
    onStart(server, run);
  }

  #crash(server: Server | undefined, isSilent: boolean): void {
    if (!server?.isUp) return;
    server.isUp = false;
    server.life += 1;
    const incarnation = `${String(server.id)}/${String(server.life)}`;
    for (const run of server.runs) {
      this.#events.after(isSilent ? 900 + this.random() * 1600 : 5, () => {
        this.#onTerminated(incarnation, run, !isSilent);
        run.onLost();
      });
    }
    server.runs = new Set();
    this.#events.after(2000 + this.random() * 1500, () => {
      server.isUp = true;
    });
  }

  #onTerminated(incarnation: string, run: Run, isPrompt: boolean): void {
    const { request, parts, startedAtMs } = run;
    const atMs = this.#events.nowMs;
    const started = new Map(parts.map((part) => [part, startedAtMs]));
    const requests = new Map(parts.map((part) => [part, request]));
    const ended = { incarnation, server: incarnation, host: 'h', atMs, isPrompt };
    const runs = { ...ended, parts: started, requests };
    this.#events.after(LATENCY_MS, () => {
      this.#known.record(runs);
      const isHeld = (part: string) => this.#isHeld(part);
      const fatal = parts.filter((part) => !isHeld(part) && this.#known.isFatal(part, isHeld));
      for (const part of fatal) this.#heldUntilMs.set(part, this.#events.nowMs + HOLD_MS);
    });
  }

  #onServed(part: string): void {
    this.#known.recordServed(part, this.#events.nowMs);
    this.#heldUntilMs.delete(part);
  }

  #isHeld(part: string): boolean {
    return this.#events.nowMs < (this.#heldUntilMs.get(part) ?? 0);
  }
}

function simulate(scenario: Scenario): readonly SimulatedDay[] {
  return Array.from({ length: DAYS }, (_unused, index) => {
    const day = new SimulatedDay(scenario, seededRandom(index + 1));
    day.simulate();
    return day;
  });
}

const FATAL: readonly Scenario[] = [
  { name: 'one short part', fatal: { class: 'short', rate: 5, parts: 1 } },
  { name: 'a frequent short part', fatal: { class: 'short', rate: 10, parts: 1 } },
  { name: 'a rare short part', fatal: { class: 'short', rate: 1, parts: 1 } },
  { name: 'two short parts', fatal: { class: 'short', rate: 5, parts: 2 } },
  { name: 'a long part', fatal: { class: 'long', rate: 1, parts: 1 } },
  { name: 'a frequent long part', fatal: { class: 'long', rate: 3, parts: 1 } },
  {
    name: 'a short part beside other crashes',
    fatal: { class: 'short', rate: 5, parts: 1 },
    crashEveryMs: 1000,
  },
];

const SOUND: readonly Scenario[] = [
  { name: 'a zone is lost', lost: { share: 0.33, withinMs: 1 } },
  { name: 'all servers are lost', lost: { share: 1, withinMs: 1 } },
  { name: 'a zone falls silent', lost: { share: 0.33, withinMs: 1 }, isSilent: true },
  { name: 'half of the servers are lost over 2 s', lost: { share: 0.5, withinMs: 2000 } },
  { name: 'a server crashes every second', crashEveryMs: 1000 },
];

describe('PartTerminations in simulated days', () => {
  it.each(FATAL)('finds $name before more than three further runs', (scenario) => {
    const days = simulate(scenario);
    const perPart = (scenario.fatal?.parts ?? 1) * 3;
    expect(days.every(({ fatalCrashes }) => fatalCrashes.length >= 3)).toBe(true);
    for (const { laterArrivals } of days) expect(laterArrivals).toBeLessThanOrEqual(perPart);
  });

  it.each(SOUND)('holds at most one in 1,000 other requests when $name', (scenario) => {
    const days = simulate(scenario);
    const held = days.reduce((sum, { soundHeld }) => sum + soundHeld, 0);
    const count = days.reduce((sum, { soundCount }) => sum + soundCount, 0);
    expect(held / count).toBeLessThanOrEqual(0.001);
  });

  it('holds less than three in a hundred requests when a server crashes every 0.4 s', () => {
    const days = simulate({ name: 'crashes', crashEveryMs: 400 });
    const held = days.reduce((sum, { soundHeld }) => sum + soundHeld, 0);
    const count = days.reduce((sum, { soundCount }) => sum + soundCount, 0);
    expect(held / count).toBeLessThan(0.03);
  });
});
