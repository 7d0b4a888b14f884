import { defineConfig } from 'vitest/config';

// Tests run against the sources; the process tests start the built programs.
export default defineConfig({
  resolve: { conditions: ['source'] },
  ssr: { resolve: { conditions: ['source'] } },
  test: {
    include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
    testTimeout: 30_000,
    hookTimeout: 30_000,
    maxWorkers: 4,
    // Its module form imports folders, which Node does not load.
    server: { deps: { inline: ['clipanion'] } },
  },
});
