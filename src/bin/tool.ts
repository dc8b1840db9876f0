#!/usr/bin/env node
/**
 * Entry point of `comfreyspoke`, the operator's tool.
 */
import { runMain } from 'citty'
import { toolCommand } from '../tool/main.js'

await runMain(toolCommand)
