#!/usr/bin/env node
import { runProgram } from '@poppypond/settings';
import { gatewayCommand } from './commands.js';

await runProgram('poppypond-gateway', [gatewayCommand]);
