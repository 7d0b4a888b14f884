#!/usr/bin/env node
import { runProgram } from '@poppypond/settings';
import { loadCommand } from './commands.js';

await runProgram('poppypond-load', [loadCommand]);
