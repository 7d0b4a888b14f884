#!/usr/bin/env node
import { runProgram } from '@poppypond/settings';
import { measureCommands } from './commands.js';

await runProgram('measure', measureCommands);
