#!/usr/bin/env node
/**
 * Entry point of `comfreyspoke-check`: checks documents without the platform.
 */
import { defineCommand, runMain } from 'citty'
import { formatFault } from '../core/index.js'
import { loadDocument } from '../tool/load.js'

await runMain(defineCommand({
  meta: { name: 'comfreyspoke-check', description: 'Check documents offline; exit code 1 when one is invalid.' },
  args: { file: { type: 'positional', required: true, description: 'YAML or JSON file; more may follow' } },
  run: async ({ args }) => {
    for (const file of args._) {
      const document = await loadDocument(file)
      if (document.ok) {
        process.stdout.write(`${file}: valid document of ${document.val.service}\n`)
        continue
      }
      for (const fault of document.val) process.stderr.write(`${file}: ${formatFault(fault)}\n`)
      process.exitCode = 1
    }
  }
}))
