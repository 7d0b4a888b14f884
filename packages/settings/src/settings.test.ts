import { describe, expect, it } from 'vitest';
import { listSetting, portSetting, yesNoSetting } from './schemas.js';
import { describeSettings, findUnknownVariable, loadSettings } from './settings.js';

const shape = {
  listenPort: portSetting.default(8080).describe('port'),
  peers: listSetting.default([]),
  useLanes: yesNoSetting.default(true),
};

describe('loadSettings', () => {
  it('takes the flag, else the variable, else the default', () => {
    const environment = { POPPYPOND_LISTEN_PORT: '1', POPPYPOND_PEERS: 'a, b' };
    const loaded = loadSettings(shape, { listenPort: '2', useLanes: false }, environment);
    expect(loaded.isOk && loaded.value).toEqual({
      listenPort: 2,
      peers: ['a', 'b'],
      useLanes: false,
    });
    expect(loadSettings(shape, {}, {}).isOk).toBe(true);
  });

  it('names the wrong setting in one line', () => {
    const loaded = loadSettings(shape, {}, { POPPYPOND_LISTEN_PORT: '99999' });
    expect(loaded.isErr && loaded.error).toMatch(/^--listen-port \(POPPYPOND_LISTEN_PORT\): /);
    const known = new Set(describeSettings(shape).map(({ env }) => env));
    expect(findUnknownVariable(known, { POPPYPOND_PEER: 'x' })).toMatch(/POPPYPOND_PEER/);
  });
});
