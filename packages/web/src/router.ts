import type { IncomingMessage, ServerResponse } from 'node:http';
import { fault } from '@poppypond/core';
import { sendFault } from './response.js';

/** A request that matched a route. */
export interface RouteContext {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Decoded values of `:name` segments; `rest` is what a final `*` matched, as in the path. */
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
}

/**
 * Handles a request. If it throws or rejects, the response gets status 500 and `onFailure` is
 * called.
 */
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

/** Dispatches requests to handlers by method and path. */
export class Router {
  readonly #routes: Route[] = [];

  constructor(readonly onFailure: (error: unknown) => void = () => undefined) {}

  /**
   * Adds a route. `:name` matches one segment, a final `*` the rest, and the method `ANY` all
   * methods.
   */
  on(method: string, pattern: string, handler: RouteHandler): this {
    this.#routes.push({ method, parts: pattern.split('/'), handler });
    return this;
  }

  /** All routes as `METHOD path`. */
  get paths(): readonly string[] {
    return this.#routes.map(({ method, parts }) => `${method} ${parts.join('/')}`);
  }

  /**
   * Request listener for an HTTP server: calls the handler of the route, or sends a fault if there
   * is none.
   */
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
