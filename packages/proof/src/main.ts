#!/usr/bin/env node
import { runProgram } from '@poppypond/settings';
import { proofCommands } from './commands.js';

await runProgram('prove', proofCommands);
