#!/usr/bin/env node
import { runProgram } from '@poppypond/settings';
import { playCommand } from './commands.js';

await runProgram('poppypond-emulator', [playCommand]);
