/**
 * Evacuated data centres in the agreed state. An order takes effect unless a newer one on the same data centre has been
 * accepted that its sender cannot have known.
 */
import type * as types from './types.js';

/** The table as JSON, for snapshots. */
export interface EvacuationTableJson {
  /** Absent until the first evacuation. */
  readonly evacuations?: types.Evacuations;
  /** Absent until the first order, and in snapshots of earlier versions. */
  readonly dataCentreOrders?: LastOrdersJson;
}

interface LastOrdersJson {
  /** Data centres with the log index of the last order that was accepted for each, oldest order first. */
  readonly lastOrders: readonly (readonly [string, number])[];
  /** Highest log index among the evicted orders. */
  readonly droppedIndex: number;
}

const NO_EVACUATIONS: types.Evacuations = { revision: 0, dataCentres: [] };

/** Maximum number of data centres whose last order is listed. */
const MAXIMUM_LAST_ORDERS = 256;

/** Evacuated data centres and the last order on each; deterministic. */
export class EvacuationTable {
  private current = NO_EVACUATIONS;
  private lastOrders = new Map<string, number>();
  private droppedIndex = 0;

  /** Evacuated data centres; a new object after each change. */
  get evacuations(): types.Evacuations {
    return this.current;
  }

  /**
   * Applies an order. One that asks for the present state is accepted whatever its sender knew: the sender of a repeated
   * order may not have received the answer to the first copy.
   */
  apply(command: types.DataCentreCommand, index: number, stamp: number): types.DataCentreAnswer {
    const rejection = this.rejectionOf(command);
    if (rejection !== undefined) {
      return rejection;
    }
    const { dataCentre } = command;
    if (this.changesState(command)) {
      const others = this.current.dataCentres.filter((record) => record.dataCentre !== dataCentre);
      const dataCentres = command.type === 'evacuate' ? [...others, { dataCentre, since: stamp }] : others;
      this.current = { revision: index, dataCentres };
    }
    this.recordOrder(dataCentre, index);
    return { accepted: true, evacuations: this.current };
  }

  /** The answer to an order that is void after a newer one; undefined if it would take effect. */
  rejectionOf(command: types.DataCentreCommand): types.DataCentreAnswer | undefined {
    const { dataCentre, knownIndex } = command;
    const lastOrder = this.lastOrders.get(dataCentre) ?? this.droppedIndex;
    // Log entries written by earlier versions have no known index.
    const isVoid = knownIndex !== undefined && knownIndex < lastOrder && this.changesState(command);
    return isVoid ? { accepted: false, lastOrder } : undefined;
  }

  private changesState({ type, dataCentre }: types.DataCentreCommand): boolean {
    const isEvacuated = this.current.dataCentres.some((record) => record.dataCentre === dataCentre);
    return (type === 'evacuate') !== isEvacuated;
  }

  /** Also recorded for orders that change nothing, because an older order may still arrive after them. */
  private recordOrder(dataCentre: string, index: number): void {
    this.lastOrders.delete(dataCentre);
    this.lastOrders.set(dataCentre, index);
    const [oldest] = this.lastOrders;
    if (this.lastOrders.size > MAXIMUM_LAST_ORDERS && oldest !== undefined) {
      this.lastOrders.delete(oldest[0]);
      this.droppedIndex = oldest[1];
    }
  }

  /** The table as JSON; empty before the first order. */
  toJson(): EvacuationTableJson {
    const { current: evacuations, lastOrders, droppedIndex } = this;
    return {
      ...(evacuations.revision === 0 ? {} : { evacuations }),
      ...(lastOrders.size === 0 ? {} : { dataCentreOrders: { lastOrders: [...lastOrders], droppedIndex } }),
    };
  }

  /** Replaces the table by that of a snapshot. */
  restore({ evacuations, dataCentreOrders }: EvacuationTableJson): void {
    this.current = evacuations ?? NO_EVACUATIONS;
    this.lastOrders = new Map(dataCentreOrders?.lastOrders ?? []);
    this.droppedIndex = dataCentreOrders?.droppedIndex ?? this.current.revision;
  }
}
