import { runProgram } from '@poppypond/settings';
import { demoCommand } from './commands.js';

await runProgram('demo', [demoCommand]);
