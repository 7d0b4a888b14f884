// Bundles the relay into target/: a small entry file, the program that it loads, and the program's
// V8 code cache, so that a restarting process spends no time on compiling.
import { execFileSync } from 'node:child_process';
import { readdirSync, renameSync, rmdirSync } from 'node:fs';
import { build } from 'esbuild';

/** Directory to write to; tests use their own, so that they may run at the same time. */
const [, , TARGET = 'target'] = process.argv;
/** Complete files replace those of an earlier build, which processes may be loading. */
const STAGE = `${TARGET}/build-${String(process.pid)}`;
/** V8 accepts a code cache only under the same flags, so these must equal those in deploy/system.toml. */
const NODE_FLAGS = ['--max-old-space-size=160'];

/**
 * Modules that the relay never calls, and what replaces each: texts in other languages, native
 * code, the StatsD client, TLS and parts of the metrics library. Besides their own code, they load
 * Node modules such as tls, cluster and child_process.
 */
const NEVER_CALLED = [
  [/\/locales\/index\.(js|cjs)$/, ''],
  [/^msgpackr-extract$/, ''],
  [/^\.\/lib\/(cluster|defaultMetrics|pushgateway)$/, ''],
  [/^hot-shots$/, 'export class StatsD {}'],
  [
    /^node:https$/,
    `export class Agent {}
    export function request() { throw new Error('the relay is built without TLS'); }
    export const createServer = request;`,
  ],
];

const leaveOut = {
  name: 'leave-out',
  setup(bundle) {
    for (const [filter, contents] of NEVER_CALLED) {
      bundle.onResolve({ filter }, ({ path }) => ({
        path,
        namespace: 'empty',
        pluginData: contents,
      }));
    }
    bundle.onLoad({ filter: /.*/, namespace: 'empty' }, ({ pluginData }) => ({
      contents: pluginData,
      loader: 'js',
    }));
  },
};

/** Modules of their own, as the entry file and the program share the signal handler and the listener. */
const EARLY_MODULES = ['early-signals', 'early-listener'];

const shareEarlyModules = {
  name: 'share-early-modules',
  setup(bundle) {
    for (const name of EARLY_MODULES) {
      bundle.onResolve({ filter: new RegExp(`/${name}\\.js$`) }, () => ({
        path: `./${name}.cjs`,
        external: true,
      }));
    }
  },
};

const shared = {
  outdir: STAGE,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  conditions: ['source'],
  logLevel: 'warning',
  // Contains native code, so it is loaded from where it is installed.
  external: ['koffi'],
  // The command line library refers to the standard input, which takes 9 ms to open and is not read.
  define: { 'process.stdin': 'undefined' },
  // A script loaded through `node:vm` cannot use import(); it gets a `require` instead.
  supported: { 'dynamic-import': false },
};

await build({
  ...shared,
  entryPoints: Object.fromEntries(EARLY_MODULES.map((name) => [name, `platform/src/${name}.ts`])),
});
await build({
  ...shared,
  entryPoints: { relay: 'platform/src/start-compiled.ts', compile: 'platform/src/compile.ts' },
  plugins: [shareEarlyModules],
});
await build({
  ...shared,
  entryPoints: { program: 'platform/src/program.ts' },
  minify: true,
  plugins: [shareEarlyModules, leaveOut],
});
execFileSync(process.execPath, [...NODE_FLAGS, `${STAGE}/compile.cjs`], { stdio: 'inherit' });
for (const name of readdirSync(STAGE)) renameSync(`${STAGE}/${name}`, `${TARGET}/${name}`);
rmdirSync(STAGE);
