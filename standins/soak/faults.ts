/**
 * The faults of a soak run. Each begins, lasts for its time and ends by itself; several may overlap on a host.
 */
import { setTimeout as delay } from 'node:timers/promises'
import type { ObjectsServer, ObjectsSwitches } from '../objects/server.js'
import type { SoakHost } from './host.js'
import type { SoakOperator } from './operator.js'
import type { FaultKind } from './plan.js'
import type { FaultProxy, ProxyState } from './proxy.js'
import {
  EndlessResponse, LostResponse, MalformedResponse, NoResponse, Rejection, RepeatedRefusal, SecondResponse, TruncatedResponse
} from './responses.js'
import type { ResponseBehaviour } from './responses.js'

export interface FaultContext {
  hosts: readonly SoakHost[]
  services: readonly string[]
  store: ObjectsServer
  operator: SoakOperator
}

/** Where and for how long a fault occurs. */
export interface FaultPlace { host: SoakHost, forMs: number }

const EDIT_INTERVAL_MS = 120
const SLOW_STORE_MS = 700
/** Time until the operator notices that the store lost its newest version. */
const REWRITE_DELAY_MS = 800
/** A target serves for this long after it has said that it is leaving. */
const LEAVING_MS = 3_500

export abstract class SoakFault {
  /** True if all nodes may be behind because of it. */
  readonly affectsStore: boolean = false

  /** Resolves when the fault has ended. */
  abstract run (context: FaultContext, place: FaultPlace): Promise<void>

  listAffected (_context: FaultContext, { host }: FaultPlace): readonly SoakHost[] {
    return [host]
  }
}

class StoreFault extends SoakFault {
  override readonly affectsStore = true

  constructor (private readonly switches: Partial<ObjectsSwitches>, private readonly healthy: Partial<ObjectsSwitches>) {
    super()
  }

  override async run ({ store }: FaultContext, { forMs }: FaultPlace): Promise<void> {
    store.switches = { ...store.switches, ...this.switches }
    await delay(forMs)
    store.switches = { ...store.switches, ...this.healthy }
  }
}

class HistoryFault extends SoakFault {
  override readonly affectsStore = true

  override async run ({ store }: FaultContext): Promise<void> {
    store.discardHistory()
  }
}

/** The store loses the changes of the last milliseconds. The operator writes its newest version again. */
class RestoreFault extends SoakFault {
  override readonly affectsStore = true

  override async run ({ store, operator }: FaultContext, { forMs }: FaultPlace): Promise<void> {
    const copy = store.makeCopy()
    await delay(forMs)
    store.restoreCopy(copy)
    await delay(REWRITE_DELAY_MS)
    operator.writeNewest()
  }
}

class LinkFault extends SoakFault {
  constructor (private readonly getLink: (host: SoakHost) => FaultProxy, private readonly state: ProxyState) {
    super()
  }

  override async run (_context: FaultContext, { host, forMs }: FaultPlace): Promise<void> {
    this.getLink(host).setState(this.state)
    await delay(forMs)
    this.getLink(host).setState('up')
  }
}

class PauseFault extends SoakFault {
  override async run (_context: FaultContext, { host, forMs }: FaultPlace): Promise<void> {
    host.pauseNode(true)
    await delay(forMs)
    host.pauseNode(false)
  }
}

/** Ends nodes and starts them again. A node that another fault has already ended stays as it is. */
class RestartFault extends SoakFault {
  constructor (private readonly end: (host: SoakHost) => Promise<unknown>) {
    super()
  }

  override async run (context: FaultContext, place: FaultPlace): Promise<void> {
    await Promise.all(this.listAffected(context, place).map(async host => { await this.restart(host, place.forMs) }))
  }

  private async restart (host: SoakHost, forMs: number): Promise<void> {
    if (!host.isNodeRunning) return
    await this.end(host)
    await delay(forMs)
    host.startNode()
  }
}

/** Ends half of all nodes at once. */
class HerdFault extends RestartFault {
  override listAffected ({ hosts }: FaultContext, { host: first }: FaultPlace): readonly SoakHost[] {
    return hosts.filter(host => (host.options.index + first.options.index) % 2 === 0)
  }
}

abstract class ReplacementFault extends SoakFault {
  protected abstract endTarget (host: SoakHost): Promise<void>

  /** Returns the service of the target that starts at the same address. */
  protected pickService (_context: FaultContext, host: SoakHost): string {
    return host.options.service
  }

  override async run (context: FaultContext, { host, forMs }: FaultPlace): Promise<void> {
    if (host.isTargetReplaced) return
    host.isTargetReplaced = true
    await this.endTarget(host)
    await delay(forMs)
    await host.target.start(this.pickService(context, host))
    host.isTargetReplaced = false
  }
}

class CrashFault extends ReplacementFault {
  protected override async endTarget ({ target }: SoakHost): Promise<void> {
    target.stop()
  }
}

/** A target of another service starts at the address of the one that crashed. */
class ReuseFault extends CrashFault {
  protected override pickService ({ services }: FaultContext, { options: { service } }: SoakHost): string {
    return services.find(name => name !== service) ?? service
  }
}

class LeaveFault extends ReplacementFault {
  protected override async endTarget ({ target }: SoakHost): Promise<void> {
    await target.announceLeaving()
    await delay(LEAVING_MS)
    await target.end()
  }
}

class ResponseFault extends SoakFault {
  constructor (private readonly behaviour: ResponseBehaviour) {
    super()
  }

  override async run (_context: FaultContext, { host: { target }, forMs }: FaultPlace): Promise<void> {
    target.setBehaviour(this.behaviour)
    await delay(forMs)
    target.setBehaviour()
  }
}

class EditFault extends SoakFault {
  override async run ({ operator }: FaultContext): Promise<void> {
    operator.edit()
  }
}

class EditStormFault extends SoakFault {
  override async run ({ operator }: FaultContext, { forMs }: FaultPlace): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += EDIT_INTERVAL_MS) {
      operator.edit()
      await delay(EDIT_INTERVAL_MS)
    }
  }
}

const getStoreLink = (host: SoakHost): FaultProxy => host.storeLink
const getTargetLink = (host: SoakHost): FaultProxy => host.targetLink
const killNode = async (host: SoakHost): Promise<void> => { await host.killNode() }

export const FAULTS: Readonly<Record<FaultKind, SoakFault>> = {
  'node-kill': new RestartFault(killNode),
  'node-stop': new RestartFault(async host => await host.stopNode()),
  'node-pause': new PauseFault(),
  'herd-kill': new HerdFault(killNode),
  'store-refuses': new StoreFault({ refuseWith: 503 }, { refuseWith: undefined }),
  'store-silent': new StoreFault({ isSilent: true }, { isSilent: false }),
  'store-loses-answers': new StoreFault({ loseAnswers: true }, { loseAnswers: false }),
  'store-slow': new StoreFault({ delayMs: SLOW_STORE_MS }, { delayMs: 0 }),
  'store-forgets': new HistoryFault(),
  'store-restored': new RestoreFault(),
  'store-link-silent': new LinkFault(getStoreLink, 'silent'),
  'store-link-reset': new LinkFault(getStoreLink, 'reset'),
  'store-link-one-way': new LinkFault(getStoreLink, 'one-way'),
  'target-link-silent': new LinkFault(getTargetLink, 'silent'),
  'target-link-reset': new LinkFault(getTargetLink, 'reset'),
  'target-link-one-way': new LinkFault(getTargetLink, 'one-way'),
  'target-link-slow': new LinkFault(getTargetLink, 'slow'),
  'target-crash': new CrashFault(),
  'target-leave': new LeaveFault(),
  'target-reuse': new ReuseFault(),
  rejections: new ResponseFault(new Rejection()),
  'lost-answer': new ResponseFault(new LostResponse()),
  'repeated-refusal': new ResponseFault(new RepeatedRefusal()),
  'second-answer': new ResponseFault(new SecondResponse()),
  garbage: new ResponseFault(new MalformedResponse()),
  endless: new ResponseFault(new EndlessResponse()),
  truncated: new ResponseFault(new TruncatedResponse()),
  hang: new ResponseFault(new NoResponse()),
  edit: new EditFault(),
  'edit-storm': new EditStormFault()
}
