/**
 * The node program with the native interface. It is separate from src/node, so that a node program for
 * another platform does not load it.
 */
export { defineNodeCommand, nativeSettingsSchema, startNativeNode } from './command.js'
export type { NativeSettings } from './command.js'
