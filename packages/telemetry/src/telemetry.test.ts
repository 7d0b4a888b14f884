import { readdirSync, readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { createLog } from './log.js';
import { METRICS } from './metrics.js';

describe('log', () => {
  it('writes one line of key=value pairs for each event, and only at its level or above', () => {
    const lines: string[] = [];
    const log = createLog({ program: 'gateway' }, 'info', (line) => lines.push(line));
    log.debug('hidden');
    log.warn('backend_set_aside', { server: 'engine-1', why: 'a "cut"\nstream', count: 3 });
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatch(
      /^time=\S+ level=warn event=backend_set_aside program=gateway server=engine-1 why="a \\"cut\\"\\nstream" count=3\n$/,
    );
  });
});

function readSources(folder: URL): string {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.ts') && !name.endsWith('.test.ts'))
    .map((name) => readFileSync(new URL(name, folder), 'utf8'))
    .join('\n');
}

describe('METRICS', () => {
  it('contains only metrics that a program sends', () => {
    const programs = ['gateway', 'controller'];
    const sources = programs.map((name) =>
      readSources(new URL(`../../${name}/src/`, import.meta.url)),
    );
    for (const name of Object.keys(METRICS)) expect(sources.join('\n')).toContain(`'${name}'`);
  });

  it('is listed completely in docs/METRICS.md', () => {
    const path = new URL('../../../docs/METRICS.md', import.meta.url);
    const page = readFileSync(path, 'utf8');
    for (const [name, { type, meaning }] of Object.entries(METRICS)) {
      const row = page.split('\n').find((line) => line.startsWith(`| \`poppypond.${name}\``));
      expect(row, name).toContain(type);
      expect(row).toContain(meaning);
    }
  });
});
