import type { IncomingMessage, ServerResponse } from 'node:http';
import { fault } from '@poppypond/core';
import { sendFault } from './reply.js';

/** A request that matched a route. */
export interface RouteContext {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** The values of `:name` parts, decoded. */
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
}

/** A handler; a rejected promise becomes status 500 and is reported to `onFailure`. */
export type RouteHandler = (context: RouteContext) => void | Promise<void>;

interface Route {
  readonly method: string;
  readonly parts: readonly string[];
  readonly handler: RouteHandler;
}

function matchParts(
  pattern: readonly string[],
  path: readonly string[],
): Readonly<Record<string, string>> | undefined {
  const params: Record<string, string> = {};
  for (const [index, part] of pattern.entries()) {
    if (part === '*') {
      if (index >= path.length) return undefined;
      params['rest'] = path.slice(index).join('/');
      return params;
    }
    const value = path[index];
    if (value === undefined) return undefined;
    if (part.startsWith(':')) params[part.slice(1)] = decodeURIComponent(value);
    else if (part !== value) return undefined;
  }
  return pattern.length === path.length ? params : undefined;
}

/** Finds the handler of a request by method and path. */
export class Router {
  readonly #routes: Route[] = [];

  constructor(readonly onFailure: (error: unknown) => void = () => undefined) {}

  /** Adds a route. `:name` takes one part, a final `*` the rest; method `ANY` takes all. */
  on(method: string, pattern: string, handler: RouteHandler): this {
    this.#routes.push({ method, parts: pattern.split('/'), handler });
    return this;
  }

  /** `METHOD path` of every route. */
  get paths(): readonly string[] {
    return this.#routes.map(({ method, parts }) => `${method} ${parts.join('/')}`);
  }

  /** Answers a request; use as the listener of an http server. */
  readonly handle = (request: IncomingMessage, response: ServerResponse): void => {
    const [path = '/', query] = (request.url ?? '/').split('?', 2);
    const parts = path.split('/');
    let isPathKnown = false;
    for (const route of this.#routes) {
      const params = matchParts(route.parts, parts);
      if (!params) continue;
      isPathKnown = true;
      if (route.method !== 'ANY' && route.method !== request.method) continue;
      void this.#run(route, { request, response, params, query: new URLSearchParams(query) });
      return;
    }
    const code = isPathKnown ? 'method_not_allowed' : 'not_found';
    sendFault(response, fault(code, `${request.method ?? ''} ${path}`));
  };

  async #run(route: Route, context: RouteContext): Promise<void> {
    try {
      await route.handler(context);
    } catch (error) {
      this.onFailure(error);
      if (!context.response.headersSent) context.response.writeHead(500);
      context.response.end();
    }
  }
}
