import type { Milliseconds } from '@poppypond/core';
import type { BackendServer, LimitNotice } from '@poppypond/fleet';
import type { RoutingConfiguration } from '@poppypond/routing';
import type { IncomingMessage } from 'node:http';
import type { Result } from 'true-myth';

/** Header names and values by turns, as they go over the wire. */
export type HeaderPairs = readonly string[];

/** The head of a caller's request. Its body is opaque. */
export interface CallerHead {
  /** The caller's own identifier of this request; passed on unchanged. */
  readonly requestId: string;
  readonly method: string;
  readonly hostName: string;
  /** Path and query as they came. */
  readonly path: string;
  readonly key: string | undefined;
  /** How long the caller waits; undefined where it doesn't say. */
  readonly timeoutMs: Milliseconds | undefined;
  /** Tokens of the prompt; 0 where the head doesn't tell. */
  readonly promptTokens: number;
  /** The most tokens that may come out; 0 where the head doesn't tell. */
  readonly answerTokens: number;
  /** The last event that the caller has, of a stream that it takes up again. */
  readonly lastEventId: number | undefined;
  /** Headers that are passed on unchanged. */
  readonly forwarded: HeaderPairs;
}

/** What the relay adds to a request that it hands to a backend server. */
export interface AttemptHead {
  readonly server: BackendServer;
  readonly timeLeftMs: Milliseconds;
  /** Undefined on routes that need no key. */
  readonly workspace: string | undefined;
  /** In which order an engine lets in what waits there, 0 first; undefined for plain services. */
  readonly priority: number | undefined;
  readonly lastEventId: number | undefined;
  /** Engines that read a part of the prompt, in the order in which memory is filled. */
  readonly readers: readonly PrefillEngineAddress[];
  readonly bodyLength: number;
}

/** An engine that reads a part of a prompt, and the memory that is held there for it. */
export interface PrefillEngineAddress {
  readonly address: string;
  readonly port: number;
  readonly reservation: string | undefined;
}

/** What a server says of itself in an answer, whatever it answers. */
export interface ServerNotice {
  /** Whether it leaves, and wants no new requests from any host. */
  readonly isLeaving: boolean;
  /** For how long it wants nothing from this host; undefined where it doesn't ask for rest. */
  readonly backoffMs: Milliseconds | undefined;
  /** What it says of a limit for all hosts together; undefined where the answer can't tell. */
  readonly limit?: LimitNotice | undefined;
}

/** The head of a backend server's answer. */
export interface ResponseHead {
  readonly status: number;
  /** The request that the server says it answers. */
  readonly requestId: string | undefined;
  /** Whether the server vouches for the answer as its own. */
  readonly isSigned: boolean;
  /** Whether the server confirms that nothing was run. */
  readonly isNotExecuted: boolean;
  /** The engine, by id or `ADDRESS:PORT`, for want of which another could not serve. */
  readonly faultyEngine: string | undefined;
  /** What the server says of itself. */
  readonly word: ServerNotice;
  /** Headers for the caller, without those of one connection or of the body's length. */
  readonly forwarded: HeaderPairs;
}

/** Reads and writes heads of requests and answers in the form that callers and servers speak. */
export interface RelayWire {
  /** Undefined where the head lacks what every request must have. */
  parseCallerHead(message: IncomingMessage): CallerHead | undefined;
  attemptHeaders(caller: CallerHead, attempt: AttemptHead): HeaderPairs;
  parseResponseHead(message: IncomingMessage): ResponseHead;
  /** Headers of a refusal. */
  refusalHeaders(
    caller: CallerHead | undefined,
    retryAfterMs: Milliseconds | undefined,
  ): HeaderPairs;
  /** The path that the balancer asks whether this host takes requests. */
  readonly readinessPath: string;
}

/** One row of the platform's table. */
export interface StoredRow {
  readonly key: string;
  /** Undefined where the row was removed. */
  readonly value: Buffer | undefined;
}

/** Rows as of one moment, or changes up to it. */
export interface RowSet {
  readonly rows: readonly StoredRow[];
  /** The newest version of the table; changes are asked for after it. */
  readonly version: number;
  /** The store's own steady clock at that moment. */
  readonly storeNowMs: Milliseconds;
}

/** Why the store gave no result. After `no_answer` a write may have been done, or may be done later. */
export interface StoreFailure {
  readonly kind: 'history_gone' | 'refused' | 'no_answer';
  readonly detail: string;
}

/** The platform's table service. */
export interface RowStore {
  read(table: string): Promise<Result<RowSet, StoreFailure>>;
  /** Answers as soon as something changed after `version`, and after `waitMs` in any case. */
  changes(
    table: string,
    version: number,
    waitMs: Milliseconds,
  ): Promise<Result<RowSet, StoreFailure>>;
  put(table: string, key: string, value: Buffer): Promise<Result<number, StoreFailure>>;
  remove(table: string, key: string): Promise<Result<number, StoreFailure>>;
}

/** Where the platform keeps what operators and backend servers write, and in which form. */
export interface PlatformRows {
  readonly configurationTable: string;
  readonly configurationKey: string;
  readonly serverTable: string;
  /** Undefined where the value can't be read. */
  parseConfiguration(value: Buffer): RoutingConfiguration | undefined;
  /** The error tells why an entry, which may come from another writer, names no server to use. */
  parseServer(id: string, value: Buffer): Result<BackendServer, string>;
}

/** What an engine says of itself, as it was some hundred milliseconds ago. */
export interface EngineStatus {
  /** Requests that have a place. */
  readonly running: number;
  /** Tokens of theirs in its memory. */
  readonly memoryTokens: number;
  /** Unix time at which the life began that answered; undefined where it doesn't tell. */
  readonly startedAtMs?: Milliseconds | undefined;
  /** What the engine says of itself. */
  readonly word?: ServerNotice | undefined;
}

/** An engine's answer to an order to hold memory. */
export interface ReserveResult {
  /** What the engine says of itself; undefined where no answer came. */
  readonly word?: ServerNotice | undefined;
  /** Whether the memory is held. */
  readonly isHeld: boolean;
  /** For how long, where that is longer than was asked for. */
  readonly heldForMs?: Milliseconds;
  /** Unix time at which the life began that answered; undefined where it doesn't tell. */
  readonly startedAtMs?: Milliseconds | undefined;
}

/** An engine's answer to an order to free memory. */
export interface ReleaseResult {
  /** False where no answer came. */
  readonly isAnswered: boolean;
  /** What the engine says of itself; undefined where no answer came. */
  readonly word?: ServerNotice | undefined;
}

/** Engines' memory that is held for requests. Orders without an answer may be carried out later. */
export interface EngineMemory {
  /** Holds memory for `holdMs` from now, or holds it that much longer. */
  reserve(
    server: BackendServer,
    id: string,
    tokens: number,
    holdMs: Milliseconds,
  ): Promise<ReserveResult>;
  /** Frees it. */
  release(server: BackendServer, id: string): Promise<ReleaseResult>;
  /** What the engine runs; undefined where it does not answer. Each question is priced. */
  readStatus(server: BackendServer): Promise<EngineStatus | undefined>;
}

/** What a platform provides: its store and the forms in which it speaks. */
export interface PlatformPorts {
  readonly store: RowStore;
  readonly rows: PlatformRows;
  readonly wire: RelayWire;
  readonly memory: EngineMemory;
}
