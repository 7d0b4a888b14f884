#!/usr/bin/env node
import { closeIdleConnections } from '@poppypond/web';
import { Builtins, Cli } from 'clipanion';
import { operatorCommands } from './commands.js';

const EXIT_USAGE = 2;

const cli = new Cli({ binaryName: 'poppypond', binaryLabel: 'poppypond', enableCapture: false });
cli.register(Builtins.HelpCommand);
for (const command of operatorCommands) cli.register(command);
try {
  const command = cli.process(process.argv.slice(2), Cli.defaultContext);
  process.exitCode = await cli.run(command, Cli.defaultContext);
} catch (error) {
  const [line] = (error instanceof Error ? error.message : String(error)).split('\n');
  process.stderr.write(`poppypond: ${line ?? 'invalid command line'}\n`);
  process.exitCode = EXIT_USAGE;
}
closeIdleConnections();
