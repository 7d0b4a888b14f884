import type { Milliseconds } from '@poppypond/core';
import type { Server, Socket } from 'node:net';
import type { BackendServer, LimitNotice } from '@poppypond/fleet';
import type { ServerConnector } from './connections/server-connector.js';
import type { DecodedConfiguration } from '@poppypond/routing';
import type { IncomingMessage } from 'node:http';
import type { Result } from 'true-myth';

/** Alternating header names and values, as in Node's `rawHeaders`. */
export type HeaderPairs = readonly string[];

/** Head of a caller's request. The body is opaque to the relay. */
export interface CallerHead {
  /** Request id set by the caller; forwarded unchanged. */
  readonly requestId: string;
  readonly method: string;
  readonly hostName: string;
  /** Path and query, unmodified. */
  readonly path: string;
  readonly key: string | undefined;
  /** The caller's timeout; undefined if the request states none. */
  readonly timeoutMs: Milliseconds | undefined;
  /** Prompt length in tokens; 0 if the head does not state it. */
  readonly promptTokens: number;
  /** Maximum number of output tokens; 0 if the head does not state it. */
  readonly answerTokens: number;
  /**
   * Ids of the parts of the prompt that other requests may share, which excludes the last one; empty
   * if the head does not list them.
   */
  readonly sharedParts: readonly string[];
  /** Id of the last event that the caller received, if it resumes a stream. */
  readonly lastEventId: number | undefined;
  /** Headers that are forwarded unchanged. */
  readonly forwarded: HeaderPairs;
}

/** What the relay adds to a request that it sends to a backend server. */
export interface AttemptHead {
  readonly server: BackendServer;
  readonly timeLeftMs: Milliseconds;
  /** Undefined on routes that need no key. */
  readonly workspace: string | undefined;
  /** Order in which an engine admits waiting requests, 0 first; undefined for plain services. */
  readonly priority: number | undefined;
  readonly lastEventId: number | undefined;
  /** Engines that prefill a part of the prompt, in the order in which their memory is filled. */
  readonly readers: readonly PrefillEngineAddress[];
  readonly bodyLength: number;
}

/** An engine that prefills a part of a prompt, and the memory reserved there for it. */
export interface PrefillEngineAddress {
  readonly address: string;
  readonly port: number;
  readonly reservation: string | undefined;
}

/** What a server reports about itself in the headers of any response. */
export interface ServerNotice {
  /** Whether the server is leaving and accepts no new requests from any host. */
  readonly isLeaving: boolean;
  /** How long this host must send it no requests; undefined if the server asks for no backoff. */
  readonly backoffMs: Milliseconds | undefined;
  /**
   * The rate limit that the server reports for all hosts together; undefined if the response cannot
   * carry one.
   */
  readonly limit?: LimitNotice | undefined;
  /** How much longer the server is cold; undefined if the response does not state it. */
  readonly coldRemainingMs?: Milliseconds | undefined;
}

/** A server's entry in the store. */
export interface ServerEntry {
  readonly server: BackendServer;
  /** How much longer the server was cold when it wrote the entry; 0 if it was warm. */
  readonly coldRemainingMs: Milliseconds;
}

/** Head of a backend server's response. */
export interface ResponseHead {
  readonly status: number;
  /** Id of the request that the server says it responds to. */
  readonly requestId: string | undefined;
  /** Whether the response carries the server's own signature. */
  readonly isSigned: boolean;
  /** Whether the server confirms that it executed nothing. */
  readonly isNotExecuted: boolean;
  /** Engine, by id or `ADDRESS:PORT`, whose failure kept the responding engine from serving. */
  readonly faultyEngine: string | undefined;
  /** What the server reports about itself. */
  readonly word: ServerNotice;
  /** Headers for the caller, without hop-by-hop headers and without the body's length. */
  readonly forwarded: HeaderPairs;
}

/** Parses and builds the heads of requests and responses on the wire. */
export interface RelayWire {
  /** Returns undefined if the head lacks a required header. */
  parseCallerHead(message: IncomingMessage): CallerHead | undefined;
  attemptHeaders(caller: CallerHead, attempt: AttemptHead): HeaderPairs;
  parseResponseHead(message: IncomingMessage): ResponseHead;
  /** Headers of a response that refuses a request. */
  refusalHeaders(
    caller: CallerHead | undefined,
    retryAfterMs: Milliseconds | undefined,
  ): HeaderPairs;
  /** Path that the load balancer polls to learn whether this host takes requests. */
  readonly readinessPath: string;
}

/** A row of the platform's table store. */
export interface StoredRow {
  readonly key: string;
  /** Undefined if the row was deleted. */
  readonly value: Buffer | undefined;
}

/** Rows as of one version, or the rows changed up to it. */
export interface RowSet {
  readonly rows: readonly StoredRow[];
  /** Newest version of the table; later changes are requested from here. */
  readonly version: number;
  /** The store's monotonic clock at that version. */
  readonly storeNowMs: Milliseconds;
}

/**
 * Why a store call returned no result. After `no_answer` a write may have been applied, or may be
 * applied later.
 */
export interface StoreFailure {
  readonly kind: 'history_gone' | 'refused' | 'no_answer';
  readonly detail: string;
}

/** The platform's table store. */
export interface RowStore {
  read(table: string): Promise<Result<RowSet, StoreFailure>>;
  /** Long poll: resolves on the first change after `version`, or after `waitMs`. */
  changes(
    table: string,
    version: number,
    waitMs: Milliseconds,
  ): Promise<Result<RowSet, StoreFailure>>;
  put(table: string, key: string, value: Buffer): Promise<Result<number, StoreFailure>>;
  remove(table: string, key: string): Promise<Result<number, StoreFailure>>;
}

/**
 * Tables and keys under which operators and backend servers write, and the encoding of the values.
 */
export interface PlatformRows {
  readonly configurationTable: string;
  readonly configurationKey: string;
  /**
   * Availability zone that a row of the configuration table evacuates while it exists, whatever its
   * value; undefined if the row has another purpose.
   */
  evacuatedZoneOf(key: string): string | undefined;
  readonly serverTable: string;
  /** The error says why no part of the value can be applied. */
  parseConfiguration(value: Buffer): Result<DecodedConfiguration, string>;
  /**
   * The error says why the entry, which another kind of writer may have written, describes no
   * usable server.
   */
  parseServer(id: string, value: Buffer): Result<ServerEntry, string>;
}

/** Status reported by an engine, a few hundred milliseconds old. */
export interface EngineStatus {
  /** Requests that occupy a slot. */
  readonly running: number;
  /** Tokens that these requests hold in the engine's memory. */
  readonly memoryTokens: number;
  /** Time that the engine says it takes, relative to the usual one; undefined if not reported. */
  readonly pace?: number | undefined;
  /** Unix time at which the responding incarnation started; undefined if not reported. */
  readonly startedAtMs?: Milliseconds | undefined;
  /** What the engine reports about itself. */
  readonly word?: ServerNotice | undefined;
}

/** Result of reserving memory on an engine. */
export interface ReserveResult {
  /** What the engine reports about itself; undefined if it did not respond. */
  readonly word?: ServerNotice | undefined;
  /** Whether the memory is reserved. */
  readonly isReserved: boolean;
  /** Duration of the reservation, if longer than requested. */
  readonly reservedForMs?: Milliseconds;
  /** Unix time at which the responding incarnation started; undefined if not reported. */
  readonly startedAtMs?: Milliseconds | undefined;
}

/** Result of releasing reserved memory on an engine. */
export interface ReleaseResult {
  /** False if the engine did not respond. */
  readonly isAnswered: boolean;
  /** What the engine reports about itself; undefined if it did not respond. */
  readonly word?: ServerNotice | undefined;
}

/** Memory reservations on engines. A command without a response may still be executed later. */
export interface EngineMemory {
  /**
   * Reserves memory for `holdMs` from now, or renews the reservation for that long. `isRenewal`:
   * whether an earlier command has reserved it; false if undefined.
   */
  reserve(
    server: BackendServer,
    id: string,
    tokens: number,
    holdMs: Milliseconds,
    isRenewal?: boolean,
  ): Promise<ReserveResult>;
  /** Releases the reservation. */
  release(server: BackendServer, id: string): Promise<ReleaseResult>;
  /** Queries the status of an engine; undefined if it does not respond. Each query is billed. */
  readStatus(server: BackendServer): Promise<EngineStatus | undefined>;
}

/** What a platform provides: its store, the encoding of its rows, and its wire formats. */
export interface PlatformPorts {
  readonly store: RowStore;
  readonly rows: PlatformRows;
  readonly wire: RelayWire;
  /** Returns the client of engine memory, which opens its connections by `connector`. */
  readonly memory: (connector: ServerConnector) => EngineMemory;
  /**
   * Hands over a server that listens at `ADDRESS:PORT` already, and the paused connections that it
   * has accepted; undefined if there is none.
   */
  readonly takeListener?: (listen: string) => OpenListener | undefined;
}

/** A listening server with its connections, none of which was read from. */
export interface OpenListener {
  readonly server: Server;
  readonly sockets: readonly Socket[];
}
