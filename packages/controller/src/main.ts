#!/usr/bin/env node
import { runProgram } from '@poppypond/settings';
import { controllerCommand } from './commands.js';

await runProgram('poppypond-controller', [controllerCommand]);
