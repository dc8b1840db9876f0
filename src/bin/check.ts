#!/usr/bin/env node
/**
 * Entry point of `comfreyspoke-check`, which validates documents without access to the platform.
 */
import { defineCommand } from 'citty'
import { EXIT } from '../tool/exit.js'
import { loadDocuments } from '../tool/load.js'
import { formatFileFault } from '../tool/output.js'
import { runStrict } from '../tool/run.js'

await runStrict(defineCommand({
  meta: { name: 'comfreyspoke-check', description: 'Check documents offline; exit code 1 when one is invalid.' },
  args: { file: { type: 'positional', required: true, valueHint: 'FILE...', description: 'YAML or JSON files, - for standard input' } },
  run: async ({ args }) => {
    for (const file of args._) {
      const documents = await loadDocuments(file)
      if (documents.ok) {
        for (const document of documents.val) process.stdout.write(`${file}: valid document of ${document.service}\n`)
        continue
      }
      for (const fault of documents.val) process.stderr.write(`${formatFileFault(fault)}\n`)
      process.exitCode = EXIT.invalid
    }
  }
}))
