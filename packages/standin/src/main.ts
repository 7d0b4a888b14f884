#!/usr/bin/env node
import { runProgram } from '@poppypond/settings';
import { standinCommands } from './commands.js';

await runProgram('poppypond-standin', standinCommands);
