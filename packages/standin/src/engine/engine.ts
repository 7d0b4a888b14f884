import type { ServerResponse } from 'node:http';
import type { Clock, Milliseconds } from '@poppypond/core';
import { callHttp } from '@poppypond/web';
import { z } from 'zod';
import { answerToken, CHAIN_START, formatChainHash } from '@poppypond/hashing';
import { Batch } from './batch.js';
import type { SequenceEnd } from './batch.js';
import { noEngineFaults } from './faults.js';
import type { EngineFaults } from './faults.js';
import { hashPrompt } from './generate-call.js';
import type { GenerateCall } from './generate-call.js';
import { KvMemory } from './kv-memory.js';
import type { Reservation } from './kv-memory.js';
import type { EngineModelSettings } from './model-settings.js';
import { CommandGate } from './fenced-commands.js';
import { EngineFeeds } from './feeds.js';
import { FrameWriter } from './frame-writer.js';

const UNAVAILABLE = 503;
/** An attempt that ran, recorded for the ground truth. */
export interface EngineRun {
  readonly requestId: string;
  readonly attempt: number;
  readonly owner: string;
  readonly promptTokens: number;
  readonly prefillOnly: boolean;
  readonly startedAtMs: Milliseconds;
  firstToken: number;
  tokens: number;
  end: SequenceEnd | 'running';
}

interface AdmittedCall {
  readonly call: GenerateCall;
  readonly response: ServerResponse;
  readonly imported: { readonly tokens: number; readonly chain: bigint };
}

interface WaitingCall extends AdmittedCall {
  readonly arrival: number;
  readonly deadlineMs: Milliseconds;
}

const exportedSchema = z.object({ tokens: z.number(), chain: z.string() });
const PRIORITY_COUNT = 10;
const RESERVATION_TTL_MS = 10_000;
const IMPORT_TIMEOUT_MS = 2_000;
const MAX_RUNS_KEPT = 200_000;

/** A fake model engine: batch, KV memory, queue, commands and the ground truth of what it ran. */
export class FakeEngine {
  readonly batch: Batch;
  readonly memory: KvMemory;
  readonly commands: CommandGate;
  readonly feeds: EngineFeeds;
  readonly faults: EngineFaults = noEngineFaults();
  readonly runs: EngineRun[] = [];
  readonly models = new Map<string, string>();
  /** Reservations whose sequence is in the batch. */
  readonly running = new Set<string>();
  readonly seenDispatches = new Map<string, number>();
  role: 'any' | 'long' | 'short' = 'any';
  readonly #waiting: WaitingCall[] = [];
  #arrivals = 0;

  constructor(
    readonly settings: EngineModelSettings,
    readonly clock: Clock,
  ) {
    this.batch = new Batch(settings, clock);
    this.memory = new KvMemory(settings.kvTokens, clock, (event) => {
      this.feeds.publishCacheEvent(event);
    });
    this.commands = new CommandGate(settings.checksFencing, clock);
    for (const model of settings.models) this.models.set(model, '1');
    this.feeds = new EngineFeeds(this, clock);
  }

  get waitingCount(): number {
    return this.#waiting.length;
  }

  /** Prompt tokens still to be prefilled, by priority. */
  pendingPrefill(): readonly number[] {
    const byPriority = Array.from({ length: PRIORITY_COUNT }, () => 0);
    this.batch.addPendingPrefill(byPriority);
    for (const { call } of this.#waiting) {
      byPriority[call.priority] = (byPriority[call.priority] ?? 0) + call.promptTokens;
    }
    return byPriority;
  }

  /** Runs a call, queues it, or refuses it with a status that confirms that it was not run. */
  async generate(call: GenerateCall, response: ServerResponse): Promise<void> {
    this.seenDispatches.set(
      call.owner,
      Math.max(call.dispatch, this.seenDispatches.get(call.owner) ?? 0),
    );
    const refusal = this.#findRefusal(call);
    if (refusal) return refuse(response, ...refusal, this.faults.restSeconds);
    const imported = await this.#import(call);
    if (!imported) return refuse(response, 409, 'import_failed');
    const admitted = { call, response, imported };
    if (this.#tryStart(admitted)) return;
    if (!call.canWait) return refuse(response, 409, 'no_memory');
    this.#arrivals += 1;
    const deadlineMs = this.clock.monotonicMs() + call.timeRemainingMs;
    this.#waiting.push({ ...admitted, arrival: this.#arrivals, deadlineMs });
    this.#waiting.sort((a, b) => b.call.priority - a.call.priority || a.arrival - b.arrival);
    response.once('close', () => {
      this.#removeWaiting(response);
    });
  }

  #findRefusal(call: GenerateCall): readonly [number, string] | undefined {
    if (this.faults.refuseCalls > 0) {
      this.faults.refuseCalls -= 1;
      return [503, 'refused'];
    }
    if (this.faults.leaving) return [503, 'leaving'];
    if (!this.models.has(call.model)) return [404, 'model_not_loaded'];
    const needed = call.promptTokens + call.maxTokens;
    return needed > this.settings.kvTokens ? [413, 'larger_than_memory'] : undefined;
  }

  async #import(call: GenerateCall): Promise<AdmittedCall['imported'] | undefined> {
    let tokens = 0;
    let chain = CHAIN_START;
    for (const source of call.imports) {
      const [url, reservation] = source.split('#');
      const reply = await callHttp({
        method: 'GET',
        url: `${url ?? ''}/kv/export/${reservation ?? ''}`,
        timeoutMs: IMPORT_TIMEOUT_MS,
      });
      if (reply.isErr || reply.value.status !== 200) return undefined;
      const exported = exportedSchema.parse(JSON.parse(reply.value.body));
      tokens += exported.tokens;
      chain = BigInt(`0x${exported.chain}`);
    }
    return { tokens, chain };
  }

  #tryStart(admitted: AdmittedCall): boolean {
    const { call, response } = admitted;
    if (response.destroyed) return true;
    if (this.batch.size >= this.settings.maxRunning) return false;
    const reservation = this.#findOrReserve(call);
    if (!reservation) return false;
    this.#start(admitted, reservation);
    return true;
  }

  #findOrReserve(call: GenerateCall): Reservation | undefined {
    if (call.reservationId !== undefined) return this.memory.find(call.reservationId);
    const tokens = call.promptTokens + call.maxTokens;
    const claim = { ...call, tokens, deadlineMs: call.timeRemainingMs };
    return this.memory.reserve(claim, RESERVATION_TTL_MS);
  }

  #start({ call, response, imported }: AdmittedCall, reservation: Reservation): void {
    const { blocks, promptHash } = hashPrompt(call.prompt, imported.chain);
    const cachedTokens = this.memory.matchPrefix(blocks);
    const run = this.#recordRun(call);
    const writer = new FrameWriter(response, call.attempt, this.faults);
    const key = `${call.requestId}/${String(call.attempt)}`;
    this.running.add(reservation.id);
    writer.begin({ reservation: reservation.id, cachedTokens, promptTokens: call.promptTokens });
    const onEnd = (end: SequenceEnd): void => {
      run.end = end;
      this.running.delete(reservation.id);
      this.memory.cacheBlocks(end === 'done' ? blocks : [], formatChainHash);
      if (end === 'done' && call.prefillOnly) {
        this.memory.markExported(reservation.id, imported.tokens + call.promptTokens, promptHash);
      } else if (call.reservationId === undefined || end !== 'done') {
        this.memory.release(reservation.id);
      }
      writer.end(end, { promptTokens: call.promptTokens, tokens: run.tokens });
      this.#startWaiting();
    };
    response.once('close', () => {
      this.batch.cancel(key);
    });
    this.batch.add({
      key,
      priority: call.priority,
      prefillTokens: Math.max(1, call.promptTokens + call.resumeOffset - cachedTokens),
      firstToken: call.resumeOffset,
      endToken: call.prefillOnly ? call.resumeOffset : call.maxTokens,
      deadlineMs: this.clock.monotonicMs() + call.timeRemainingMs,
      startDelayMs: imported.tokens * this.settings.importMs,
      onToken: (index) => {
        run.tokens += 1;
        writer.token(index, answerToken(promptHash, index));
      },
      onEnd,
    });
  }

  #recordRun(call: GenerateCall): EngineRun {
    const run: EngineRun = {
      requestId: call.requestId,
      attempt: call.attempt,
      owner: call.owner,
      promptTokens: call.promptTokens,
      prefillOnly: call.prefillOnly,
      startedAtMs: this.clock.wallMs(),
      firstToken: call.resumeOffset,
      tokens: 0,
      end: 'running',
    };
    this.runs.push(run);
    if (this.settings.printRuns) process.stdout.write(`ran request=${call.requestId}\n`);
    if (this.runs.length > MAX_RUNS_KEPT) this.runs.splice(0, MAX_RUNS_KEPT / 2);
    return run;
  }

  /** Starts queued calls in order until one does not fit; refuses those whose time limit passed. */
  #startWaiting(): void {
    const now = this.clock.monotonicMs();
    for (let next = this.#waiting[0]; next; next = this.#waiting[0]) {
      if (next.deadlineMs <= now) {
        refuse(next.response, 504, 'waited_too_long');
      } else if (!this.#tryStart(next)) {
        return;
      }
      this.#waiting.shift();
    }
  }

  #removeWaiting(response: ServerResponse): void {
    const index = this.#waiting.findIndex((waiting) => waiting.response === response);
    if (index >= 0) this.#waiting.splice(index, 1);
  }

  /** Cancels a running attempt. */
  cancel(requestId: string, attempt: number): boolean {
    return this.batch.cancel(`${requestId}/${String(attempt)}`);
  }

  /** Releases a reservation and starts queued calls that now fit. Returns the freed tokens. */
  release(id: string): number {
    const tokens = this.memory.release(id);
    if (tokens > 0) this.#startWaiting();
    return tokens;
  }
}

function refuse(response: ServerResponse, status: number, reason: string, restSeconds = 0): void {
  if (response.headersSent || response.destroyed) return;
  const hasBackoff = status === UNAVAILABLE && restSeconds > 0;
  const backoffHeaders = hasBackoff ? { 'retry-after': String(restSeconds) } : {};
  response.writeHead(status, { 'content-type': 'application/json', ...backoffHeaders });
  response.end(JSON.stringify({ refused: reason }));
}
