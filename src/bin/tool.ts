#!/usr/bin/env node
/**
 * Entry point of `comfreyspoke`, the operator's command-line tool.
 */
import { toolCommand } from '../tool/main.js'
import { runStrict } from '../tool/run.js'

await runStrict(toolCommand)
