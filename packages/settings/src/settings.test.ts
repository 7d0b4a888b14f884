import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { z } from 'zod';
import { listSetting, portSetting, booleanSetting } from './schemas.js';
import { describeSettings, findUnknownVariable, loadSettings } from './settings.js';

const shape = {
  listenPort: portSetting.default(8080).describe('port'),
  peers: listSetting.default([]),
  useLanes: booleanSetting.default(true),
};

describe('loadSettings', () => {
  it('uses the flag, then the environment variable, then the default', () => {
    const environment = { POPPYPOND_LISTEN_PORT: '1', POPPYPOND_PEERS: 'a, b' };
    const loaded = loadSettings(shape, { listenPort: '2', useLanes: false }, environment);
    expect(loaded.isOk && loaded.value).toEqual({
      listenPort: 2,
      peers: ['a', 'b'],
      useLanes: false,
    });
    expect(loadSettings(shape, {}, {}).isOk).toBe(true);
  });

  it('prefers flags and variables to a settings file, ignores its unknown keys and names invalid ones', () => {
    const withFile = { ...shape, settings: z.string().optional() };
    const path = join(mkdtempSync(join(tmpdir(), 'settings-')), 'local.json');
    writeFileSync(path, JSON.stringify({ listenPort: 5, useLanes: false, unknown: { a: 1 } }));
    const environment = { POPPYPOND_SETTINGS: path, POPPYPOND_USE_LANES: 'yes' };
    const loaded = loadSettings(withFile, {}, environment);
    expect(loaded.isOk && loaded.value).toMatchObject({ listenPort: 5, useLanes: true });
    writeFileSync(path, JSON.stringify({ listenPort: 'many' }));
    const wrong = loadSettings(withFile, {}, { POPPYPOND_SETTINGS: path });
    expect(wrong.isErr && wrong.error).toMatch(/^--listen-port/);
    writeFileSync(path, '[');
    const broken = loadSettings(withFile, {}, { POPPYPOND_SETTINGS: path });
    expect(broken.isErr && broken.error).toMatch(/^the settings file can't be read: .+$/);
  });

  it('names the invalid setting in one line', () => {
    const loaded = loadSettings(shape, {}, { POPPYPOND_LISTEN_PORT: '99999' });
    expect(loaded.isErr && loaded.error).toMatch(/^--listen-port \(POPPYPOND_LISTEN_PORT\): /);
    const known = new Set(describeSettings(shape).map(({ env }) => env));
    expect(findUnknownVariable(known, { POPPYPOND_PEER: 'x' })).toMatch(/POPPYPOND_PEER/);
  });
});
