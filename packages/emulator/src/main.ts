#!/usr/bin/env node
import { runProgram } from '@poppypond/settings';
import { simulateCommand } from './commands.js';

await runProgram('poppypond-emulator', [simulateCommand]);
