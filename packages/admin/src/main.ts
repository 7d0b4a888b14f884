#!/usr/bin/env node
import { runProgram } from '@poppypond/settings';
import { adminCommand } from './commands.js';

await runProgram('poppypond-admin', [adminCommand]);
