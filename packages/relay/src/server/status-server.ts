import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import type { UnexpectedErrors } from '../unexpected-errors.js';

const OK = 200;
const NOT_FOUND = 404;
const INTERNAL_SERVER_ERROR = 500;
const UNAVAILABLE = 503;

/** Response handlers by exact path. */
export type StatusPages = Readonly<Record<string, StatusPage>>;

type StatusPage = (response: ServerResponse) => void | Promise<void>;

/** Returns a handler that responds with 200 if `isReady`, otherwise with 503. */
export function readinessPage(isReady: () => boolean): StatusPage {
  return (response) => {
    response.writeHead(isReady() ? OK : UNAVAILABLE);
    response.end();
  };
}

/** Returns a handler that responds with text in the Prometheus exposition format. */
export function textPage(text: () => Promise<string>): StatusPage {
  return async (response) => {
    const body = await text();
    response.writeHead(OK, { 'content-type': 'text/plain; version=0.0.4' });
    response.end(body);
  };
}

/** Returns a handler that responds with a value as JSON. */
export function jsonPage(value: () => unknown): StatusPage {
  return (response) => {
    const body = JSON.stringify(value());
    response.writeHead(OK, { 'content-type': 'application/json' });
    response.end(body);
  };
}

/** Responds with a page; an exception ends only this response. */
async function respond(
  page: StatusPage,
  response: ServerResponse,
  unexpectedErrors: UnexpectedErrors,
): Promise<void> {
  try {
    await page(response);
  } catch (error) {
    unexpectedErrors.report('status_page', error);
    response.writeHead(INTERNAL_SERVER_ERROR);
    response.end();
  }
}

/** Serves pages by exact path; rejects if the port is in use. */
export function serveStatusPages(
  address: string,
  port: number,
  pages: StatusPages,
  unexpectedErrors: UnexpectedErrors,
): Promise<Server> {
  const server = createServer((message, response) => {
    const page = pages[message.url ?? ''];
    if (page) return void respond(page, response, unexpectedErrors);
    response.writeHead(NOT_FOUND);
    response.end();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      resolve(server);
    });
  });
}
