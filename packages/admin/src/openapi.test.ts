import { readFileSync } from 'node:fs';
import { SystemClock } from '@poppypond/core';
import { objectSchema } from '@poppypond/objects';
import {
  ConfigurationHolder,
  ConfigurationReader,
  ConfigurationWriter,
  PlatformConnection,
  PlatformTable,
} from '@poppypond/state';
import { silentLog } from '@poppypond/telemetry';
import { describe, expect, it } from 'vitest';
import { z } from 'zod';
import { createRouter } from './admin.js';
import { applySchema } from './objects/app.js';
import { adminShape } from './settings.js';

const document = z
  .object({
    paths: z.record(z.string(), z.record(z.string(), z.unknown())),
    components: z.object({ schemas: z.record(z.string(), z.unknown()) }),
  })
  .parse(JSON.parse(readFileSync(new URL('../openapi.json', import.meta.url), 'utf8')));

function routerPaths(): readonly string[] {
  const settings = z.object(adminShape).parse({ host: 'h', platformUrl: 'http://127.0.0.1:1' });
  const clock = new SystemClock();
  const table = new PlatformTable(new PlatformConnection(settings.platformUrl, 1));
  const reader = new ConfigurationReader(new ConfigurationHolder(), table, clock);
  const writer = new ConfigurationWriter(table, clock);
  return createRouter({ settings, clock, log: silentLog, table, reader, writer }).paths;
}

describe('openapi.json', () => {
  it('describes exactly the paths that the router serves', () => {
    const described = Object.entries(document.paths).flatMap(([path, methods]) =>
      Object.keys(methods).map((method) => {
        const pattern = path.replaceAll(/\{(\w+)\}/g, ':$1');
        return `${method.toUpperCase()} ${pattern}`;
      }),
    );
    expect([...described].sort()).toEqual([...routerPaths()].sort());
  });

  it('contains the schemas that validate requests', () => {
    const { Apply, Object: object } = document.components.schemas;
    expect(Apply).toEqual(z.toJSONSchema(applySchema, { io: 'input' }));
    expect(object).toEqual(z.toJSONSchema(objectSchema, { io: 'input' }));
  });
});
