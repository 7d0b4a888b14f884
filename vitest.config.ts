import { defineConfig } from 'vitest/config';

/** Crowds need the machine for themselves: they run one at a time, after all other tests. */
const CROWDS = 'platform/src/crowds/**/*.test.ts';

// Tests run against the sources; the process tests start the built programs.
export default defineConfig({
  resolve: { conditions: ['source'] },
  ssr: { resolve: { conditions: ['source'] } },
  test: {
    testTimeout: 30_000,
    hookTimeout: 30_000,
    // Its module form imports folders, which Node does not load.
    server: { deps: { inline: ['clipanion'] } },
    projects: [
      {
        extends: true,
        test: {
          name: 'tests',
          include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
          exclude: [CROWDS],
          maxWorkers: 4,
        },
      },
      {
        extends: true,
        test: {
          name: 'crowds',
          include: [CROWDS],
          maxWorkers: 1,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
