#!/usr/bin/env node
/**
 * Entry point of `comfreyspoke-node`.
 */
import { runMain } from 'citty'
import { defineNodeCommand } from '../node/index.js'

await runMain(defineNodeCommand())
