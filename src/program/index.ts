/**
 * The node program with the project's own interface. It stands apart from src/node, so that a program
 * for another platform does not load it.
 */
export { defineNodeCommand, nativeSettingsSchema, startNativeNode } from './command.js'
export type { NativeSettings } from './command.js'
