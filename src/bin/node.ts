#!/usr/bin/env node
/**
 * Entry point of `comfreyspoke-node`.
 */
import { runMain } from 'citty'
import { defineNodeCommand } from '../program/index.js'

await runMain(defineNodeCommand())
